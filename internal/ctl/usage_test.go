package ctl

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
)

// Guards against invalid arguments that are ignored, and against broken help and
// shell completion. The flaggy package exits the process by itself; here it is
// set to panic with the exit code instead.
func TestArguments(t *testing.T) {
	flaggy.PanicInsteadOfExit = true
	defer func() { flaggy.PanicInsteadOfExit = false }()
	cases := []struct {
		arguments string
		code      int
	}{
		{"", ExitUsage},
		{"bogus", ExitUsage},
		{"check", ExitUsage},
		{"check a b", ExitUsage},
		{"check a --platform b:1", ExitUsage},
		{"show --bogus", ExitUsage},
		{"apply --parent x f", ExitUsage},
		{"wait --within soon", ExitUsage},
		{"apply f --parent 1 --no-instances --wait", ExitUsage},
		{"show --number -1 --store x", ExitUsage},
		{"show --file f --text", ExitUsage},
		{"completion tcsh", ExitUsage},
		{"completion bash", ExitDone},
		{"apply --help", ExitDone},
		{"--version", ExitDone},
	}
	for _, c := range cases {
		t.Run(c.arguments, func(t *testing.T) {
			if code := runForExitCode(t, strings.Fields(c.arguments)); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
		})
	}
}

func runForExitCode(t *testing.T, arguments []string) (code int) {
	defer func() {
		if reason := recover(); reason != nil {
			if _, err := fmt.Sscanf(fmt.Sprint(reason), "Panic instead of exit with code: %d", &code); err != nil {
				t.Fatalf("panic: %v", reason)
			}
		}
	}()
	var out bytes.Buffer
	return Main(t.Context(), arguments, Env{Stdout: &out, Stderr: &out, Getenv: func(string) string { return "" }})
}

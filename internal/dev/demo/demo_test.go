package demo_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/demo"
)

// options returns options with a directory of programs that are links to this test
// binary, and a settings tree of two domains. fault says which invariant the fake routers violate.
func options(t *testing.T, fault string) demo.Options {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	bin := t.TempDir()
	if err := os.Mkdir(filepath.Join(bin, "pids"), 0o755); err != nil {
		t.Fatal(err)
	}
	for name := range fakes {
		if name == reportProgram {
			continue
		}
		if err := os.Symlink(self, filepath.Join(bin, name)); err != nil {
			t.Fatal(err)
		}
	}
	settings := filepath.Join(bin, "tree.ini")
	if err := os.WriteFile(settings, []byte(treeText(fault)), 0o644); err != nil {
		t.Fatal(err)
	}
	o := demo.DefaultOptions()
	o.Bin, o.Settings, o.Dir, o.Rate, o.Count = bin, settings, filepath.Join(bin, "run"), 100, 100
	return o
}

func treeText(fault string) string {
	text := "fault = " + fault + "\n[service.bosho]\nkeyed = true\n"
	for _, domain := range []string{"kyu-kita", "kyu-naka"} {
		text += fmt.Sprintf("[domain.%s]\nregion = kyushu\nstate = in\n", domain)
		for _, service := range []string{"bosho", "chumon", "shashin", "yoyaku"} {
			text += fmt.Sprintf("[server.%s-%s]\nservice = %s\ndomain = %s\naddress = 127.0.0.1:1\n", service, domain, service, domain)
		}
	}
	return text
}

// counts parses the last line that the demo prints.
func counts(t *testing.T, output string) map[string]int {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(output), "\n")
	last := lines[len(lines)-1]
	form := `^demo: sent=\d+ answered=\d+ not_run=\d+ unknown=\d+ ran_twice=\d+ two_owners=\d+ crossed=\d+` +
		` false_not_run=\d+ unserved_ms=\d+ p50_ms=\d+ p99_ms=\d+$`
	if !regexp.MustCompile(form).MatchString(last) {
		t.Fatalf("the last line is %q", last)
	}
	found := map[string]int{}
	for _, field := range strings.Fields(last)[1:] {
		name, value, _ := strings.Cut(field, "=")
		number, err := strconv.Atoi(value)
		if err != nil {
			t.Fatal(err)
		}
		found[name] = number
	}
	return found
}

// checkNoneRunning checks that every program which the demo started has ended.
func checkNoneRunning(t *testing.T, o demo.Options) {
	t.Helper()
	pids, err := os.ReadDir(filepath.Join(o.Bin, "pids"))
	if err != nil || len(pids) == 0 {
		t.Fatalf("no program was started: %v", err)
	}
	for _, entry := range pids {
		pid, err := strconv.Atoi(entry.Name())
		if err != nil {
			t.Fatal(err)
		}
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("program with pid %d was left behind: %v", pid, err)
		}
	}
}

func TestRunWithCorrectRouters(t *testing.T) {
	is := is.New(t)
	o := options(t, "")
	var out bytes.Buffer
	err := demo.Run(t.Context(), o, &out)
	is.NoErr(err)
	found := counts(t, out.String())
	is.True(found["sent"] >= 100)
	is.True(found["answered"] > 0)
	is.Equal(found["sent"], found["answered"]+found["not_run"]+found["unknown"])
	for _, name := range []string{"ran_twice", "two_owners", "crossed", "false_not_run"} {
		is.Equal(found[name], 0)
	}
	checkNoneRunning(t, o)
}

// Guards against a demo that succeeds although the routers violate an invariant.
func TestFaultyRoutersAreDetected(t *testing.T) {
	for fault, count := range map[string]string{
		"twice":   "ran_twice",
		"not-run": "false_not_run",
		"crossed": "crossed",
		"owners":  "two_owners",
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := options(t, fault)
			var out bytes.Buffer
			err := demo.Run(t.Context(), o, &out)
			t.Log(err, out.String())
			is.True(err != nil)
			is.True(counts(t, out.String())[count] > 0)
			checkNoneRunning(t, o)
		})
	}
}

// Guards against a demo that ignores a failure of the report program.
func TestReportFailureFailsTheDemo(t *testing.T) {
	is := is.New(t)
	o := options(t, "")
	self, err := os.Executable()
	is.NoErr(err)
	is.NoErr(os.Symlink(self, filepath.Join(o.Bin, reportProgram)))
	var out bytes.Buffer
	is.True(demo.Run(t.Context(), o, &out) != nil)
	is.True(strings.Contains(out.String(), "refused by the report"))
	is.Equal(counts(t, out.String())["ran_twice"], 0)
}

// Guards against programs that keep running after a demo which failed or was interrupted.
func TestNoProgramKeepsRunning(t *testing.T) {
	t.Run("router that does not stop", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		o := options(t, "stays")
		is.True(demo.Run(t.Context(), o, &bytes.Buffer{}) != nil)
		checkNoneRunning(t, o)
	})
	t.Run("interrupted", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		o := options(t, "")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		out := &cancellingWriter{cancel: cancel}
		is.True(errors.Is(demo.Run(ctx, o, out), context.Canceled))
		checkNoneRunning(t, o)
	})
	t.Run("program missing", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		o := options(t, "")
		is.NoErr(os.Remove(filepath.Join(o.Bin, "peridotmoor-router")))
		is.True(demo.Run(t.Context(), o, &bytes.Buffer{}) != nil)
		checkNoneRunning(t, o)
	})
}

// cancellingWriter cancels the demo as soon as it starts to send requests.
type cancellingWriter struct {
	cancel context.CancelFunc
}

func (i *cancellingWriter) Write(text []byte) (int, error) {
	if bytes.Contains(text, []byte("sending")) {
		i.cancel()
	}
	return len(text), nil
}

// Guards against options with which a run exceeds the demo's time limit.
func TestOptionsAreLimited(t *testing.T) {
	is := is.New(t)
	for _, change := range []func(*demo.Options){
		func(o *demo.Options) { o.Rate = 0 },
		func(o *demo.Options) { o.Count = -1 },
		func(o *demo.Options) { o.Count = o.Rate * 17 },
	} {
		o := demo.DefaultOptions()
		o.Dir = t.TempDir()
		change(&o)
		is.True(demo.Run(t.Context(), o, &bytes.Buffer{}) != nil)
	}
}

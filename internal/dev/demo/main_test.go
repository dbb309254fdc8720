package demo_test

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"peridotmoor.org/peridotmoor/internal/dev/command"
)

// TestMain lets the test binary act as each program of the demo, by the name
// of the link through which it is started.
func TestMain(m *testing.M) {
	name := filepath.Base(os.Args[0])
	if _, isFake := fakes[name]; !isFake {
		// The race detector would otherwise sleep for a second at the end of each program.
		_ = os.Setenv("GORACE", "atexit_sleep_ms=0")
		os.Exit(m.Run())
	}
	pids := filepath.Join(filepath.Dir(os.Args[0]), "pids")
	if err := os.WriteFile(filepath.Join(pids, strconv.Itoa(os.Getpid())), []byte(name), 0o644); err != nil {
		panic(err)
	}
	os.Exit(fakes[name](os.Args[1:]))
}

// reportProgram is there only in the tests that link it.
const reportProgram = "peridotmoor-report"

// fakes are the programs of the demo. The stand-ins are the real ones.
var fakes = map[string]func(args []string) int{
	"peridotmoor-dev":    func(args []string) int { return command.Main(args, os.Stdout, os.Stderr) },
	"peridotmoor-router": fakeRouter,
	"peridotmoorctl":     fakeCtl,
	reportProgram:        fakeReport,
}

package demo_test

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"peridotmoor.org/peridotmoor/internal/dev/command"
)

// TestMain runs the test binary as one of the demo's programs if it is started
// through a link with the name of that program.
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

// reportProgram exists only in the tests that create a link for it.
const reportProgram = "peridotmoor-report"

// fakes maps the programs of the demo to their main functions. peridotmoor-dev is the real one.
var fakes = map[string]func(args []string) int{
	"peridotmoor-dev":    func(args []string) int { return command.Main(args, os.Stdout, os.Stderr) },
	"peridotmoor-router": fakeRouter,
	"peridotmoorctl":     fakeCtl,
	reportProgram:        fakeReport,
}

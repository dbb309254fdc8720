package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios returns whether the rule was broken.
var scenarios = map[string]func(*world) bool{
	"early-upload":      earlyUpload,
	"early-long-answer": earlyLongAnswer,
	"slow-server":       slowServer,
	"pipelined":         pipelined,
}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 2 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "give the name of a scenario")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(os.Getenv("CASE"), "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "peridotmoor-review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	w := &world{dir: dir, record: record, startedAt: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	defer w.close()
	defer func() {
		if reason := recover(); reason != nil {
			w.note("the case could not run: %v", reason)
			fmt.Println("the case could not run:", reason)
			code = exitNotRun
		}
	}()
	w.start()
	if scenarios[os.Args[1]](w) {
		w.note("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

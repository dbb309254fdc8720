// Command standin plays the cases of review/ that are scripts: it starts the platform's
// store, upstreams and consumers as stand-ins, and processes of peridotmoor-entry.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(*world) error{
	"poison":  poison,
	"extra":   extraAnswer,
	"encoded": encodedSlash,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*world) error, recordPath string) int {
	rec, err := newRecorder(recordPath)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	dir, err := os.MkdirTemp("", "peridotmoor-review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	w, err := newWorld(rec, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer w.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.end()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	if err := run(w); err != nil {
		w.fail(err.Error())
	}
	return w.verdict()
}

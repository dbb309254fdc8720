package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, began: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

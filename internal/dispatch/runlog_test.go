package dispatch

import (
	"sync"
)

// runLog counts the runs of each request. The fake servers write it, and tests compare
// it with the outcomes that the dispatcher reports.
type runLog struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunLog() *runLog {
	return &runLog{runs: map[string]int{}}
}

func (l *runLog) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *runLog) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

package dispatch

import (
	"sync"
)

// runLog is what the fake servers themselves note about the requests they run.
// It judges the claims of the dispatcher.
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

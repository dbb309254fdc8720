package runlog

import (
	"context"
	"sync"
	"time"
)

// maxExecutions bounds the log; at about 250 B a run it takes at most 500 MB.
const maxExecutions = 2_000_000

// Log holds the runs of all servers of one process in the order of their starts.
type Log struct {
	mu         sync.Mutex
	executions []Execution
	dropped    int
	// changed is closed and replaced by each change.
	changed chan struct{}
}

// New returns an empty log.
func New() *Log {
	return &Log{changed: make(chan struct{})}
}

// Begin records the start of a run and returns its place in the log, or -1 when the log is full.
func (l *Log) Begin(run Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.executions) >= maxExecutions {
		l.dropped++
		return -1
	}
	l.executions = append(l.executions, run)
	l.wake()
	return len(l.executions) - 1
}

// End records the end of the run at place.
func (l *Log) End(place int, at time.Time, answered, cancelled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if place < 0 {
		return
	}
	l.executions[place].End = at
	l.executions[place].Answered = answered
	l.executions[place].Cancelled = cancelled
	l.wake()
}

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Snapshot returns a copy of all runs and how many did not fit.
func (l *Log) Snapshot() (runs []Execution, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution{}, l.executions...), l.dropped
}

// Wait waits until the runs fulfil the condition or ctx ends.
func (l *Log) Wait(ctx context.Context, fulfilled func([]Execution) bool) error {
	for {
		l.mu.Lock()
		met, changed := fulfilled(l.executions), l.changed
		l.mu.Unlock()
		if met {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

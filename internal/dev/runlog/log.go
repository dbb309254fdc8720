package runlog

import (
	"context"
	"sync"
	"time"
)

// maxExecutions bounds the log: at about 250 B per execution it takes at most 500 MB.
const maxExecutions = 2_000_000

// Log holds the executions of all servers of one process, in the order of their starts.
type Log struct {
	mu         sync.Mutex
	executions []Execution
	dropped    int
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// New returns an empty log.
func New() *Log {
	return &Log{changed: make(chan struct{})}
}

// Begin records the start of an execution and returns its index in the log, or -1 if the log is full.
func (l *Log) Begin(execution Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.executions) >= maxExecutions {
		l.dropped++
		return -1
	}
	l.executions = append(l.executions, execution)
	l.notify()
	return len(l.executions) - 1
}

// End records the end of the execution at index.
func (l *Log) End(index int, at time.Time, answered, cancelled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index < 0 {
		return
	}
	l.executions[index].End = at
	l.executions[index].Answered = answered
	l.executions[index].Cancelled = cancelled
	l.notify()
}

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Snapshot returns a copy of all executions and how many were dropped because the log was full.
func (l *Log) Snapshot() (executions []Execution, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution{}, l.executions...), l.dropped
}

// Wait waits until the executions fulfil the condition or ctx ends.
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

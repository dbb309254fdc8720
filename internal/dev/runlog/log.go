package runlog

import (
	"context"
	"sync"
	"time"
)

// maxRuns bounds the log; at about 250 B a run it takes at most 500 MB.
const maxRuns = 2_000_000

// Log holds the runs of all servers of one process in the order of their starts.
type Log struct {
	mu      sync.Mutex
	runs    []Execution
	dropped int
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
	if len(l.runs) >= maxRuns {
		l.dropped++
		return -1
	}
	l.runs = append(l.runs, run)
	l.wake()
	return len(l.runs) - 1
}

// End records the end of the run at place.
func (l *Log) End(place int, at time.Time, answered, cancelled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if place < 0 {
		return
	}
	l.runs[place].End = at
	l.runs[place].Answered = answered
	l.runs[place].Cancelled = cancelled
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
	return append([]Execution{}, l.runs...), l.dropped
}

// Wait waits until the runs fulfil the condition or ctx ends.
func (l *Log) Wait(ctx context.Context, fulfilled func([]Execution) bool) error {
	for {
		l.mu.Lock()
		met, changed := fulfilled(l.runs), l.changed
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

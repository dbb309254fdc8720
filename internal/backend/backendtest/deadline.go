package backendtest

import (
	"context"
	"sync"
	"time"
)

// deadline is a context whose deadline passes when the test calls pass. Results
// therefore don't depend on the speed of the machine.
type deadline struct {
	context.Context
	passed chan struct{}
	once   sync.Once
}

func newDeadline(parent context.Context) *deadline {
	return &deadline{Context: parent, passed: make(chan struct{})}
}

func (d *deadline) pass() {
	d.once.Do(func() { close(d.passed) })
}

// Deadline implements context.Context.
func (d *deadline) Deadline() (time.Time, bool) {
	return time.Now().Add(caseTimeout), true
}

// Done implements context.Context.
func (d *deadline) Done() <-chan struct{} {
	return d.passed
}

// Err implements context.Context.
func (d *deadline) Err() error {
	select {
	case <-d.passed:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

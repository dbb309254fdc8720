package admission

import (
	"sync/atomic"
	"time"
)

// The states of a waiter. Only one transition out of waiterQueued succeeds.
const (
	waiterQueued int32 = iota
	waiterGranted
	waiterLeft
	waiterRefused
)

// waiter is one request in the queue.
type waiter struct {
	deadline  time.Time
	priority  Priority
	exclusive bool
	sequence  uint64
	state     atomic.Int32
	// wake receives one value when the dispatcher has granted a slot or refused the waiter.
	wake chan struct{}
	// next is the next older waiter in the stack of arrivals.
	next *waiter
}

// before reports whether w is served before other.
func (w *waiter) before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority > other.priority
	}
	if !w.deadline.Equal(other.deadline) {
		return w.deadline.Before(other.deadline)
	}
	return w.sequence < other.sequence
}

// settle changes a queued waiter to state and reports whether it did.
func (w *waiter) settle(state int32) bool {
	return w.state.CompareAndSwap(waiterQueued, state)
}

// isWaiting reports whether w is in the queue and its deadline has not passed.
func (w *waiter) isWaiting(now time.Time) bool {
	return w.state.Load() == waiterQueued && w.deadline.After(now)
}

// Package admission limits the load of one backend server: concurrency by slots, the rate
// during its slow start, and a bounded queue ordered by priority and deadline.
package admission

import (
	"context"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/ramp"
)

// Limiter admits requests to one backend server. A free slot is taken with one
// compare-and-swap; requests that must wait are served by one dispatcher goroutine, highest
// priority and then earliest deadline first. All methods are safe for concurrent use.
type Limiter struct {
	server      string
	state       atomic.Uint64
	limits      atomic.Pointer[limits]
	rampState   atomic.Pointer[ramp.State]
	detector    atomic.Pointer[ramp.ColdStartDetector]
	latency     latency
	utilization atomic.Uint64
	arrivals    arrivals
	// nextStart is the earliest time of the next start on a paced server, in nanoseconds of
	// Unix time.
	nextStart atomic.Int64
	wake      chan struct{}
	done      chan struct{}
	onCold    func(ramp.Reason)
}

// New returns a limiter and starts its dispatcher, which Close stops.
func New(o Options) *Limiter {
	limits := o.limits()
	l := &Limiter{
		server: o.Server,
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		onCold: o.OnCold,
	}
	l.limits.Store(&limits)
	l.detector.Store(&ramp.ColdStartDetector{})
	initial := o.initialRampState(limits.ramp)
	l.rampState.Store(&initial)
	l.applyRampState()
	go newDispatcher(l).run()
	return l
}

// Acquire takes a slot and, if none is free, waits in the queue until the deadline. It
// refuses at once when the queue is full or the expected wait exceeds the deadline. The
// error is a *problem.Problem with outcome "not run".
func (l *Limiter) Acquire(ctx context.Context, deadline time.Time, priority Priority, now time.Time) (*Slot, error) {
	if l.tryTakeSlot() {
		return &Slot{limiter: l}, nil
	}
	return l.enqueue(ctx, &waiter{deadline: deadline, priority: priority, wake: make(chan struct{}, 1)}, now)
}

// TryAcquire takes a slot if one is free, no request waits and the server is not paced.
func (l *Limiter) TryAcquire() (*Slot, bool) {
	if l.tryTakeSlot() {
		return &Slot{limiter: l}, true
	}
	return nil, false
}

// TryAcquireExclusive takes all slots if none is busy and no request waits. It always fails
// for a server that is not warm, since its starts are paced; use AcquireExclusive there.
func (l *Limiter) TryAcquireExclusive() (*Slot, bool) {
	for {
		old := packedState(l.state.Load())
		if !old.admitsDirectly() || !old.isIdle() {
			return nil, false
		}
		if l.compareAndSwap(old, (old+oneBusy)|flagExclusive) {
			return &Slot{limiter: l, exclusive: true}, true
		}
	}
}

// AcquireExclusive is Acquire for all slots: while the request runs, no other request runs
// on the server.
func (l *Limiter) AcquireExclusive(ctx context.Context, deadline time.Time, priority Priority, now time.Time) (*Slot, error) {
	if slot, ok := l.TryAcquireExclusive(); ok {
		return slot, nil
	}
	w := &waiter{deadline: deadline, priority: priority, exclusive: true, wake: make(chan struct{}, 1)}
	return l.enqueue(ctx, w, now)
}

// Close refuses all waiting and all later requests, and stops the dispatcher. Slots that are
// still taken may be released afterwards.
func (l *Limiter) Close() {
	l.update(func(old packedState) packedState { return old | flagClosed })
	l.wakeDispatcher()
	<-l.done
}

// tryTakeSlot takes a slot if one is free, no request waits and the server is not paced.
func (l *Limiter) tryTakeSlot() bool {
	for {
		old := packedState(l.state.Load())
		if !old.admitsDirectly() {
			return false
		}
		if l.compareAndSwap(old, old+oneBusy) {
			return true
		}
	}
}

// releaseSlot gives a slot back. The same compare-and-swap reads the number of waiters, so
// the dispatcher is always woken for a waiter that was counted before.
func (l *Limiter) releaseSlot(exclusive bool) {
	next := l.update(func(old packedState) packedState {
		return (old - oneBusy).withFlag(flagExclusive, old.hasFlag(flagExclusive) && !exclusive)
	})
	if next.waiting() > 0 {
		l.wakeDispatcher()
	}
}

func (l *Limiter) compareAndSwap(old, next packedState) bool {
	return l.state.CompareAndSwap(uint64(old), uint64(next))
}

// update applies change atomically, repeating it after conflicts, and returns the new state.
func (l *Limiter) update(change func(packedState) packedState) packedState {
	for {
		old := packedState(l.state.Load())
		next := change(old)
		if l.compareAndSwap(old, next) {
			return next
		}
	}
}

// wakeDispatcher wakes the dispatcher, unless a wake-up is already pending.
func (l *Limiter) wakeDispatcher() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Limiter) closedProblem() error {
	return problem.New(problem.KindNoServer, outcome.StageQueued, "server %s gets no new work", l.server)
}

// Package admission limits the work of one backend server: slots, cold start
// allowance and a bounded queue ordered by deadline.
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
// compare-and-swap; requests that must wait are served by one dispatcher
// goroutine, earliest deadline first. All methods are safe for concurrent use.
type Limiter struct {
	server      string
	state       atomic.Uint64
	limits      atomic.Pointer[limits]
	rampState   atomic.Pointer[ramp.State]
	detector    atomic.Pointer[ramp.ColdStartDetector]
	latency     latency
	utilization atomic.Uint64
	arrivals    arrivals
	// nextStart is the earliest start on a paced server, in nanoseconds of Unix time.
	nextStart atomic.Int64
	wake      chan struct{}
	done      chan struct{}
	onCold    func(ramp.Reason)
}

// New returns an open gate and starts its dispatcher. Close stops it.
func New(o Options) *Limiter {
	limits := o.limits()
	g := &Limiter{
		server: o.Server,
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
		onCold: o.OnCold,
	}
	g.limits.Store(&limits)
	g.detector.Store(&ramp.ColdStartDetector{})
	first := o.initialRampState(limits.ramp)
	g.rampState.Store(&first)
	g.applyRampState()
	go newDispatcher(g).run()
	return g
}

// Acquire takes a slot, waiting in the queue until the deadline if it must. It
// refuses at once when the queue is full or the expected wait exceeds the
// deadline. The error is a *problem.Problem with outcome "not run".
func (g *Limiter) Acquire(ctx context.Context, deadline time.Time, priority Priority, now time.Time) (*Slot, error) {
	if g.tryTakeSlot() {
		return &Slot{limiter: g}, nil
	}
	return g.enqueue(ctx, &waiter{deadline: deadline, priority: priority, wake: make(chan struct{}, 1)}, now)
}

// TryAcquire takes a slot if one is free and nobody waits.
func (g *Limiter) TryAcquire() (*Slot, bool) {
	if g.tryTakeSlot() {
		return &Slot{limiter: g}, true
	}
	return nil, false
}

// TryAcquireExclusive takes all slots if none is busy and nobody waits. A server
// that is not warm is paced, so there it always fails; use AcquireExclusive.
func (g *Limiter) TryAcquireExclusive() (*Slot, bool) {
	for {
		old := packedState(g.state.Load())
		if !old.admitsDirectly() || !old.isIdle() {
			return nil, false
		}
		if g.compareAndSwap(old, (old+oneBusy)|flagExclusive) {
			return &Slot{limiter: g, exclusive: true}, true
		}
	}
}

// AcquireExclusive takes all slots: while the request runs, no other runs on the server.
func (g *Limiter) AcquireExclusive(ctx context.Context, deadline time.Time, priority Priority, now time.Time) (*Slot, error) {
	if slot, ok := g.TryAcquireExclusive(); ok {
		return slot, nil
	}
	w := &waiter{deadline: deadline, priority: priority, exclusive: true, wake: make(chan struct{}, 1)}
	return g.enqueue(ctx, w, now)
}

// Close refuses all waiters and every later request, and stops the dispatcher.
// Slots that are still out may be released afterwards.
func (g *Limiter) Close() {
	g.update(func(old packedState) packedState { return old | flagClosed })
	g.wakeDispatcher()
	<-g.done
}

// tryTakeSlot takes a slot when no one waits and one is free.
func (g *Limiter) tryTakeSlot() bool {
	for {
		old := packedState(g.state.Load())
		if !old.admitsDirectly() {
			return false
		}
		if g.compareAndSwap(old, old+oneBusy) {
			return true
		}
	}
}

// releaseSlot returns a slot. The waiting count is read in the same swap, so a waiter
// that was counted before the swap is always woken.
func (g *Limiter) releaseSlot(exclusive bool) {
	next := g.update(func(old packedState) packedState {
		return (old - oneBusy).withFlag(flagExclusive, old.hasFlag(flagExclusive) && !exclusive)
	})
	if next.waiting() > 0 {
		g.wakeDispatcher()
	}
}

func (g *Limiter) compareAndSwap(old, next packedState) bool {
	return g.state.CompareAndSwap(uint64(old), uint64(next))
}

// update applies change until no other writer interferes and returns the new word.
func (g *Limiter) update(change func(packedState) packedState) packedState {
	for {
		old := packedState(g.state.Load())
		next := change(old)
		if g.compareAndSwap(old, next) {
			return next
		}
	}
}

// wakeDispatcher wakes the dispatcher; a wakeDispatcher that is already pending suffices.
func (g *Limiter) wakeDispatcher() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *Limiter) closedProblem() error {
	return problem.New(problem.KindNoServer, outcome.StageQueued, "server %s gets no new work", g.server)
}

package admission

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// enqueue waits for a slot until the waiter's deadline or the end of ctx.
func (g *Limiter) enqueue(ctx context.Context, w *waiter, now time.Time) (*Slot, error) {
	if !w.deadline.After(now) {
		return nil, g.deadlineProblem(now.Sub(w.deadline))
	}
	if err := g.reservePlace(w, now); err != nil {
		return nil, err
	}
	g.arrivals.push(w)
	g.wakeDispatcher()
	return g.awaitSlot(ctx, w, now)
}

// reservePlace counts the waiter in, unless the queue is full or the wait would be too long.
func (g *Limiter) reservePlace(w *waiter, now time.Time) error {
	for {
		old := packedState(g.state.Load())
		if err := g.refusal(old, w.deadline, now); err != nil {
			return err
		}
		if g.compareAndSwap(old, old+oneWaiting) {
			return nil
		}
	}
}

// Refusal returns the problem with which Acquire would refuse a request that
// arrives now, or nil. It takes nothing.
func (g *Limiter) Refusal(deadline, now time.Time) error {
	w := packedState(g.state.Load())
	if w.admitsDirectly() {
		return nil
	}
	return g.refusal(w, deadline, now)
}

func (g *Limiter) refusal(w packedState, deadline, now time.Time) error {
	if w.hasFlag(flagClosed) {
		return g.closedProblem()
	}
	if w.waiting() >= g.limits.Load().queueLimit {
		return g.queueFullProblem(w)
	}
	if wait := g.expectedWait(w); now.Add(wait).After(deadline) {
		return g.expectedWaitProblem(wait, deadline.Sub(now))
	}
	return nil
}

func (g *Limiter) awaitSlot(ctx context.Context, w *waiter, now time.Time) (*Slot, error) {
	timer := time.NewTimer(w.deadline.Sub(now))
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-ctx.Done():
		g.abandonWait(w)
	case <-timer.C:
		g.abandonWait(w)
	}
	return g.waitResult(ctx, w, now)
}

// abandonWait takes the waiter out of the queue unless it has been settled meanwhile.
func (g *Limiter) abandonWait(w *waiter) {
	if !w.settle(waiterLeft) {
		return
	}
	g.update(func(old packedState) packedState { return old - oneWaiting })
	g.wakeDispatcher()
}

func (g *Limiter) waitResult(ctx context.Context, w *waiter, now time.Time) (*Slot, error) {
	switch w.state.Load() {
	case waiterGranted:
		return &Slot{limiter: g, exclusive: w.exclusive}, nil
	case waiterRefused:
		return nil, g.closedProblem()
	}
	if ctx.Err() != nil && time.Now().Before(w.deadline) {
		return nil, problem.Wrap(context.Cause(ctx), problem.KindCallerGone, outcome.StageQueued,
			"the caller left while the request waited for server %s", g.server)
	}
	return nil, problem.New(problem.KindDeadlinePassed, outcome.StageQueued,
		"no slot of server %s became free within %v", g.server, w.deadline.Sub(now))
}

func (g *Limiter) deadlineProblem(late time.Duration) error {
	return problem.New(problem.KindDeadlinePassed, outcome.StageQueued,
		"the deadline passed %v before the request reached server %s", late, g.server)
}

func (g *Limiter) queueFullProblem(w packedState) error {
	p := problem.New(problem.KindOverloaded, outcome.StageQueued,
		"%d requests wait for server %s, which is the limit", w.waiting(), g.server)
	return p.WithRetryAfter(g.expectedWait(w))
}

func (g *Limiter) expectedWaitProblem(wait, left time.Duration) error {
	p := problem.New(problem.KindOverloaded, outcome.StageQueued,
		"the expected wait of %v for server %s exceeds the remaining %v", wait, g.server, left)
	return p.WithRetryAfter(wait)
}

package admission

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// enqueue queues the waiter and waits for a slot until its deadline or the end of ctx.
func (l *Limiter) enqueue(ctx context.Context, w *waiter, now time.Time) (*Slot, error) {
	if !w.deadline.After(now) {
		return nil, l.deadlineProblem(now.Sub(w.deadline))
	}
	if err := l.reservePlace(w, now); err != nil {
		return nil, err
	}
	l.arrivals.push(w)
	l.wakeDispatcher()
	return l.awaitSlot(ctx, w, now)
}

// reservePlace counts the waiter as waiting, unless the queue is full or the expected wait
// exceeds its deadline.
func (l *Limiter) reservePlace(w *waiter, now time.Time) error {
	for {
		old := packedState(l.state.Load())
		if err := l.refusal(old, w.deadline, now); err != nil {
			return err
		}
		if l.compareAndSwap(old, old+oneWaiting) {
			return nil
		}
	}
}

// Refusal returns the problem with which Acquire would refuse a request that arrives now,
// or nil. It reserves neither a slot nor a place in the queue.
func (l *Limiter) Refusal(deadline, now time.Time) error {
	state := packedState(l.state.Load())
	if state.admitsDirectly() {
		return nil
	}
	return l.refusal(state, deadline, now)
}

func (l *Limiter) refusal(state packedState, deadline, now time.Time) error {
	if state.hasFlag(flagClosed) {
		return l.closedProblem()
	}
	if state.waiting() >= l.limits.Load().queueLimit {
		return l.queueFullProblem(state)
	}
	if wait := l.expectedWait(state); now.Add(wait).After(deadline) {
		return l.expectedWaitProblem(wait, deadline.Sub(now))
	}
	return nil
}

func (l *Limiter) awaitSlot(ctx context.Context, w *waiter, now time.Time) (*Slot, error) {
	timer := time.NewTimer(w.deadline.Sub(now))
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-ctx.Done():
		l.abandonWait(w)
	case <-timer.C:
		l.abandonWait(w)
	}
	return l.waitResult(ctx, w, now)
}

// abandonWait removes the waiter from the queue unless it has been granted a slot or refused.
func (l *Limiter) abandonWait(w *waiter) {
	if !w.settle(waiterLeft) {
		return
	}
	l.update(func(old packedState) packedState { return old - oneWaiting })
	l.wakeDispatcher()
}

func (l *Limiter) waitResult(ctx context.Context, w *waiter, now time.Time) (*Slot, error) {
	switch w.state.Load() {
	case waiterGranted:
		return &Slot{limiter: l, exclusive: w.exclusive}, nil
	case waiterRefused:
		return nil, l.closedProblem()
	}
	if ctx.Err() != nil && time.Now().Before(w.deadline) {
		return nil, problem.Wrap(context.Cause(ctx), problem.KindCallerGone, outcome.StageQueued,
			"the caller left while the request waited for server %s", l.server)
	}
	return nil, problem.New(problem.KindDeadlinePassed, outcome.StageQueued,
		"no slot of server %s became free within %v", l.server, w.deadline.Sub(now))
}

func (l *Limiter) deadlineProblem(late time.Duration) error {
	return problem.New(problem.KindDeadlinePassed, outcome.StageQueued,
		"the deadline passed %v before the request reached server %s", late, l.server)
}

func (l *Limiter) queueFullProblem(state packedState) error {
	p := problem.New(problem.KindOverloaded, outcome.StageQueued,
		"%d requests wait for server %s, which is the limit", state.waiting(), l.server)
	return p.WithRetryAfter(l.expectedWait(state))
}

func (l *Limiter) expectedWaitProblem(wait, left time.Duration) error {
	p := problem.New(problem.KindOverloaded, outcome.StageQueued,
		"the expected wait of %v for server %s exceeds the remaining %v", wait, l.server, left)
	return p.WithRetryAfter(wait)
}

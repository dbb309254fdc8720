package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Bounds of the jittered backoff before a request is forwarded again.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// attempts forwards one request until it has ended.
type attempts struct {
	forwarder *Forwarder
	request   *request.Request
	shard     key.ShardID
	// mayHaveRun is set when an attempt ends with outcome unknown.
	mayHaveRun bool
}

// run forwards the request until it has a response or a final problem. The deadline
// and the backoff limit the number of attempts. A takeover takes at most 1 s.
func (a *attempts) run(ctx context.Context) (*request.Response, *problem.Problem) {
	var last *problem.Problem
	for time.Now().Before(a.request.Deadline) {
		if p := a.forwarder.options.Services.CheckSender(a.request); p != nil {
			if a.mayHaveRun {
				return nil, a.withOverallOutcome(last)
			}
			return nil, p
		}
		holder, changed := a.forwarder.options.Holders.Find(a.shard)
		if holder == nil {
			if p := a.waitForHolder(ctx, changed); p != nil {
				return nil, p
			}
			continue
		}
		response, p := a.forward(ctx, holder)
		if p == nil {
			return response, nil
		}
		if !a.retriable(p) {
			return nil, a.withOverallOutcome(p)
		}
		last = p
		a.forwarder.options.Observer.Retried(a.request, holder, p)
		if !a.backOff(ctx, changed) {
			return nil, a.withOverallOutcome(p)
		}
	}
	return nil, a.withOverallOutcome(problem.New(problem.KindDeadlinePassed, outcome.StageForwardUnsent, "no holder took the request before its deadline"))
}

func (a *attempts) forward(ctx context.Context, holder *Holder) (*request.Response, *problem.Problem) {
	a.request.Attempt++
	response, err := a.forwarder.options.HolderClient.Forward(ctx, holder, a.request)
	if err == nil {
		return response, nil
	}
	p := problem.From(err)
	// A holder that loses its tenure between two dispatches reports outcome unknown
	// at a stage that may be retried.
	a.mayHaveRun = a.mayHaveRun || p.Outcome == outcome.Unknown
	return nil, p
}

// retriable reports whether the request may be forwarded again: the holder did not accept
// it, the request is idempotent, or its record at the next holder determines whether it
// runs. Retries to backend servers are up to the holder.
func (a *attempts) retriable(p *problem.Problem) bool {
	if a.request.Streamed() && p.Kind != problem.KindNoHolder {
		// A part of the body may have been consumed.
		return false
	}
	return p.Stage == outcome.StageForwardUnsent || p.Stage == outcome.StageForwardSent
}

// withOverallOutcome returns p with the outcome of all attempts together. After an
// attempt with outcome unknown, "not run" is correct only if it comes from a holder
// that has looked up its request records, and only non-idempotent requests have records.
func (a *attempts) withOverallOutcome(p *problem.Problem) *problem.Problem {
	if !a.mayHaveRun || p.Outcome != outcome.NotRun {
		return p
	}
	if !a.request.Idempotent && p.Stage >= outcome.StageQueued {
		return p
	}
	return p.WithOutcome(outcome.Unknown)
}

// waitForHolder blocks until the shard table changes. It returns a problem if the
// deadline passes or the caller disconnects first.
func (a *attempts) waitForHolder(ctx context.Context, changed <-chan struct{}) *problem.Problem {
	timer := time.NewTimer(time.Until(a.request.Deadline))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return a.withOverallOutcome(problem.New(problem.KindCallerGone, outcome.StageForwardUnsent, "the caller left before shard %s had a holder", a.shard))
	case <-timer.C:
		p := problem.New(problem.KindNoHolder, outcome.StageForwardUnsent,
			"shard %s had no holder before the deadline", a.shard).WithRetryAfter(time.Second)
		return a.withOverallOutcome(p)
	}
}

// backOff waits until the shard table changes or the backoff has passed. It returns
// false if ctx ended.
func (a *attempts) backOff(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(minBackoff + rand.N(maxBackoff-minBackoff))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

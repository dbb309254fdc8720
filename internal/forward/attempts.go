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

// Bounds of the jittered wait before a request goes to a holder again.
const (
	minBackoff = 5 * time.Millisecond
	maxBackoff = 50 * time.Millisecond
)

// attempts is the sequence of forwards of one request.
type attempts struct {
	forwarder *Forwarder
	request   *request.Request
	shard     key.ShardID
	// mayHaveRun is set once an attempt has ended with outcome unknown.
	mayHaveRun bool
}

// run forwards until the request has an answer or a final problem. Attempts are
// bounded by the deadline and the backoff; a takeover takes at most 1 s.
func (a *attempts) run(ctx context.Context) (*request.Response, *problem.Problem) {
	for time.Now().Before(a.request.Deadline) {
		holder, changed := a.forwarder.options.Holders.Find(a.shard)
		if holder == nil {
			if p := a.await(ctx, changed); p != nil {
				return nil, p
			}
			continue
		}
		answer, p := a.call(ctx, holder)
		if p == nil {
			return answer, nil
		}
		if !a.retriable(p) {
			return nil, a.conclude(p)
		}
		a.forwarder.options.Observer.Retried(a.request, holder, p)
		if !a.pause(ctx, changed) {
			return nil, a.conclude(p)
		}
	}
	return nil, a.conclude(problem.New(problem.KindDeadlinePassed, outcome.StageForwardUnsent, "no holder took the request before its deadline"))
}

func (a *attempts) call(ctx context.Context, holder *Holder) (*request.Response, *problem.Problem) {
	a.request.Attempt++
	answer, err := a.forwarder.options.HolderClient.Forward(ctx, holder, a.request)
	if err == nil {
		return answer, nil
	}
	p := problem.From(err)
	// A holder that lost its tenure between two dispatches reports unknown at a
	// stage that may be retried.
	a.mayHaveRun = a.mayHaveRun || p.Outcome == outcome.Unknown
	return nil, p
}

// retriable reports whether the request may go to a holder again: the holder
// did not take it, or the record of the next holder decides whether it runs.
// Retries towards backend servers are the holder's business.
func (a *attempts) retriable(p *problem.Problem) bool {
	if a.request.Streamed() && p.Kind != problem.KindNoHolder {
		// A part of the body may be gone.
		return false
	}
	return p.Stage == outcome.StageForwardUnsent || p.Stage == outcome.StageForwardSent
}

// conclude returns p with the outcome that all attempts together justify. A
// verdict of "not run" after a lost one holds only if it comes from a holder
// that looked at its records, and records exist only for non-idempotent requests.
func (a *attempts) conclude(p *problem.Problem) *problem.Problem {
	if !a.mayHaveRun || p.Outcome != outcome.NotRun {
		return p
	}
	if !a.request.Idempotent && p.Stage >= outcome.StageQueued {
		return p
	}
	return p.WithOutcome(outcome.Unknown)
}

// await blocks until the shard table changes, and returns a problem when the
// request has no time left first.
func (a *attempts) await(ctx context.Context, changed <-chan struct{}) *problem.Problem {
	timer := time.NewTimer(time.Until(a.request.Deadline))
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return a.conclude(problem.New(problem.KindCallerGone, outcome.StageForwardUnsent, "the caller left before shard %s had a holder", a.shard))
	case <-timer.C:
		p := problem.New(problem.KindNoHolder, outcome.StageForwardUnsent,
			"shard %s had no holder before the deadline", a.shard).WithRetryAfter(time.Second)
		return a.conclude(p)
	}
}

// pause waits for a change of the shard table or the backoff, and reports
// whether there is time left.
func (a *attempts) pause(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(minBackoff + rand.N(maxBackoff-minBackoff))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

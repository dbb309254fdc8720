package forward

import (
	"context"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// verdictGrace is how long the entry waits past the deadline for the holder's
// verdict: the holder ends the request at its deadline, and knows whether it ran.
const verdictGrace = 100 * time.Millisecond

// overloadRetryAfter is the advice to callers that the instance turns away.
const overloadRetryAfter = 200 * time.Millisecond

// Forwarder implements request.Handler at the entry instance.
type Forwarder struct {
	options  Options
	inFlight atomic.Int64
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{options: options}
}

// InFlight returns how many requests are in flight through this instance.
func (f *Forwarder) InFlight() int64 {
	return f.inFlight.Load()
}

// Handle forwards r until it has an answer, a final problem or no time left.
func (f *Forwarder) Handle(ctx context.Context, r *request.Request) (*request.Response, error) {
	start := time.Now()
	answer, p := f.admit(ctx, r)
	f.options.Observer.Ended(r, answer, p, time.Since(start))
	if p != nil {
		return nil, p
	}
	return answer, nil
}

func (f *Forwarder) admit(ctx context.Context, r *request.Request) (*request.Response, *problem.Problem) {
	shards, known := f.options.Services.ShardCount(r.Service)
	if !known {
		return nil, problem.New(problem.KindUnknownService, outcome.StageEntry, "service %q is not in the settings tree", r.Service)
	}
	if shards == 0 {
		return nil, problem.New(problem.KindServiceOut, outcome.StageEntry, "service %q is out", r.Service)
	}
	defer f.inFlight.Add(-1)
	if f.inFlight.Add(1) > f.options.MaxInFlight {
		return nil, problem.New(problem.KindOverloaded, outcome.StageEntry,
			"the instance has %d requests in flight", f.options.MaxInFlight).WithRetryAfter(overloadRetryAfter)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(r.Deadline)+verdictGrace, func() { cancel(context.DeadlineExceeded) })
	shard := key.ShardID{Service: r.Service, Index: key.ShardIndex(r.KeyHash, shards)}
	attempt := &attempts{forwarder: f, request: r, shard: shard}
	answer, p := attempt.run(ctx)
	// The deadline ends with the start of the answer: a long answer is bounded by
	// lack of progress, not by its total time.
	timer.Stop()
	if p != nil {
		cancel(nil)
		return nil, p
	}
	answer.Body = &closeBody{ReadCloser: answer.Body, cancel: cancel}
	return answer, nil
}

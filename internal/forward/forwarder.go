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

// outcomeGrace is how long the entry instance waits after the deadline for the outcome:
// the holder ends the request at its deadline and knows whether it ran.
const outcomeGrace = 100 * time.Millisecond

// overloadRetryAfter is the retry-after time of requests above MaxInFlight.
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

// InFlight returns the number of requests in flight through this instance.
func (f *Forwarder) InFlight() int64 {
	return f.inFlight.Load()
}

// Handle forwards r until it has a response or a final problem, or its deadline passes.
func (f *Forwarder) Handle(ctx context.Context, r *request.Request) (*request.Response, error) {
	start := time.Now()
	response, p := f.forward(ctx, r)
	f.options.Observer.Ended(r, response, p, time.Since(start))
	if p != nil {
		return nil, p
	}
	return response, nil
}

func (f *Forwarder) forward(ctx context.Context, r *request.Request) (*request.Response, *problem.Problem) {
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
	timer := time.AfterFunc(time.Until(r.Deadline)+outcomeGrace, func() { cancel(context.DeadlineExceeded) })
	shard := key.ShardID{Service: r.Service, Index: key.ShardIndex(r.KeyHash, shards)}
	a := &attempts{forwarder: f, request: r, shard: shard}
	response, p := a.run(ctx)
	// The deadline applies until the response starts. A long response is limited by its
	// progress, not by its total time.
	timer.Stop()
	if p != nil {
		cancel(nil)
		return nil, p
	}
	response.Body = &cancelOnClose{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

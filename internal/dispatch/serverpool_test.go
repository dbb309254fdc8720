package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/budget"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/route"
)

// serverPool is a shard without request records, for idempotent requests.
type serverPool struct {
	views   atomic.Pointer[route.View]
	targets []*route.Target
}

func newServerPool(keyed bool, servers []*fakeServer, limiterOptions admission.Options) *serverPool {
	pool := &serverPool{}
	for _, s := range servers {
		limiterOptions.Server = s.name
		pool.targets = append(pool.targets, &route.Target{Name: s.name, Server: s, Limiter: admission.New(limiterOptions)})
	}
	now := time.Now()
	pool.views.Store(&route.View{
		Shard: testShard, Keyed: keyed, Targets: pool.targets,
		Tenure: &authority.Tenure{Shard: testShard, Since: now, End: now.Add(100 * time.Hour)},
		Ranges: []route.Range{{Bounds: key.Range{}, State: route.NewRangeState(), Owner: pool.targets[0]}},
	})
	return pool
}

func (pool *serverPool) dispatcher(limits Limits, b *budget.Budget) *Dispatcher {
	var pointer atomic.Pointer[Limits]
	pointer.Store(&limits)
	return New(Options{Self: instance(0), Views: &pool.views, Limits: &pointer, RetryBudget: b})
}

func (pool *serverPool) close() {
	for _, t := range pool.targets {
		t.Limiter.Close()
	}
}

func handlerOf(d *Dispatcher) func(context.Context, *request.Request) error {
	return func(ctx context.Context, r *request.Request) error {
		response, err := d.Handle(ctx, r)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
}

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

// serverPool is a shard of servers without records, for idempotent requests.
type serverPool struct {
	views   atomic.Pointer[route.View]
	targets []*route.Target
}

func newServerPool(keyed bool, servers []*fakeServer, gate admission.Options) *serverPool {
	f := &serverPool{}
	for _, s := range servers {
		gate.Server = s.name
		f.targets = append(f.targets, &route.Target{Name: s.name, Server: s, Gate: admission.New(gate)})
	}
	now := time.Now()
	f.views.Store(&route.View{
		Shard: testShard, Keyed: keyed, Targets: f.targets,
		Tenure: &authority.Tenure{Shard: testShard, Since: now, End: now.Add(100 * time.Hour)},
		Ranges: []route.Range{{Bounds: key.Range{}, State: route.NewRangeState(), Owner: f.targets[0]}},
	})
	return f
}

func (f *serverPool) dispatcher(limits Limits, b *budget.Budget) *Dispatcher {
	var pointer atomic.Pointer[Limits]
	pointer.Store(&limits)
	return New(Options{Self: instance(0), Views: &f.views, Limits: &pointer, RetryBudget: b})
}

func (f *serverPool) close() {
	for _, t := range f.targets {
		t.Gate.Close()
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

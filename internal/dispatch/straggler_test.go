package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Guards against a tail latency that one slow server in ten determines: with power of
// two choices and hedging, the p99 must be at most half of that of round robin.
func TestStragglerTail(t *testing.T) {
	const servers, slots = 10, 3
	mean := 10 * time.Millisecond
	simulate := func(name string, limits Limits, roundRobin bool) *loadResult {
		var result *loadResult
		synctest.Test(t, func(t *testing.T) {
			log := newRunLog()
			var fakes []*fakeServer
			for i := range servers {
				serviceTime := mean
				if i == 0 {
					serviceTime = 10 * mean
				}
				fakes = append(fakes, newFakeServer(instance(i).Name, log, timedServer(serviceTime, uint64(i))))
			}
			pool := newServerPool(false, fakes, admission.Options{Slots: slots, QueueLimit: 10000})
			defer pool.close()
			handle := handlerOf(pool.dispatcher(limits, nil))
			if roundRobin {
				handle = pool.roundRobin()
			}
			// The slow server has a tenth of the capacity of another; the load is 40% of all
			// slots at the usual service time.
			load := openLoop{rate: 0.4 * servers * slots / mean.Seconds(), duration: 30 * time.Second, timeout: 10 * time.Second, seed: 3}
			result = load.run(handle)
		})
		t.Logf("%-28s sent %d, failed %d, p50 %v, p99 %v, p99.9 %v", name, result.sent, result.failed,
			result.quantile(50), result.quantile(99), result.quantile(99.9))
		return result
	}
	baseline := simulate("round robin", Limits{}, true)
	simulate("choice of two", Limits{DisableHedging: true}, false)
	hedged := simulate("choice of two and hedging", Limits{}, false)
	if 2*hedged.quantile(99) > baseline.quantile(99) {
		t.Errorf("p99 %v, round robin %v", hedged.quantile(99), baseline.quantile(99))
	}
}

// roundRobin sends to the servers in turn, each with its slots and the usual queue.
func (pool *serverPool) roundRobin() func(context.Context, *request.Request) error {
	var next atomic.Uint64
	return func(ctx context.Context, r *request.Request) error {
		target := pool.targets[next.Add(1)%uint64(len(pool.targets))]
		slot, err := target.Limiter.Acquire(ctx, r.Deadline, 0, time.Now())
		if err != nil {
			return err
		}
		defer slot.Release(admission.Result{})
		_, err = target.Server.(*fakeServer).nextBehaviour()(ctx, target.Server.(*fakeServer), r)
		return err
	}
}

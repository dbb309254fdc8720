package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Guards against congestion collapse: at 3 times the saturation load, the goodput
// (responses within the deadline) must be at least 80% of that at saturation.
func TestGoodputUnderOverload(t *testing.T) {
	const slots = 3
	mean := 10 * time.Millisecond
	saturation := slots / mean.Seconds()
	goodput := func(factor float64, unbounded bool) float64 {
		var result *loadResult
		synctest.Test(t, func(t *testing.T) {
			pool := newServerPool(true, []*fakeServer{newFakeServer("bosho-01", newRunLog(), timedServer(mean, 1))}, admission.Options{Slots: slots})
			defer pool.close()
			handle := handlerOf(pool.dispatcher(Limits{}, nil))
			if unbounded {
				handle = pool.unboundedQueue(slots)
			}
			result = openLoop{rate: factor * saturation, duration: 20 * time.Second, timeout: 200 * time.Millisecond, seed: 5}.run(handle)
		})
		return float64(result.answered) / 20
	}
	atSaturation := 0.0
	for _, factor := range []float64{0.5, 1, 1.5, 2, 3} {
		bounded, unbounded := goodput(factor, false), goodput(factor, true)
		t.Logf("load %.1f x saturation (%.0f/s): goodput %.0f/s, unbounded queue %.0f/s", factor, factor*saturation, bounded, unbounded)
		if factor == 1 {
			atSaturation = bounded
		}
		if factor == 3 && bounded < 0.8*atSaturation {
			t.Errorf("goodput %.0f/s at 3 x saturation, %.0f/s at saturation", bounded, atSaturation)
		}
	}
}

// unboundedQueue serves requests first in, first out and neither refuses nor cancels
// any.
func (pool *serverPool) unboundedQueue(slots int) func(context.Context, *request.Request) error {
	free := make(chan struct{}, slots)
	return func(ctx context.Context, r *request.Request) error {
		free <- struct{}{}
		defer func() { <-free }()
		server := pool.targets[0].Server.(*fakeServer)
		_, err := server.nextBehaviour()(ctx, server, r)
		return err
	}
}

package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/budget"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Guards against retries that multiply the load in an outage: the retry budget allows
// retries of 10% of the requests plus 3/s.
func TestRetriesInAnOutage(t *testing.T) {
	simulate := func(name string, shared *budget.Budget) (retries float64, sent int) {
		var dispatches atomic.Int64
		var result *loadResult
		synctest.Test(t, func(t *testing.T) {
			refuse := func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
				dispatches.Add(1)
				return refuseConnection(ctx, s, r)
			}
			pool := newServerPool(true, []*fakeServer{newFakeServer("bosho-01", newRunLog(), refuse)}, admission.Options{Slots: 3})
			defer pool.close()
			result = openLoop{rate: 100, duration: 60 * time.Second, timeout: time.Second, seed: 11}.run(
				func(ctx context.Context, r *request.Request) error {
					b := shared
					if b == nil {
						b = budget.New() // a new budget for each request never runs out
					}
					return handlerOf(pool.dispatcher(Limits{}, b))(ctx, r)
				})
		})
		retries = float64(int(dispatches.Load())-result.sent) / float64(result.sent)
		t.Logf("%-14s %d requests, %d dispatches, %.3f retries per request", name, result.sent, dispatches.Load(), retries)
		return retries, result.sent
	}
	retries, sent := simulate("with budget", budget.New())
	simulate("without budget", nil)
	if allowed := 0.1 + (3*61+3)/float64(sent); retries > allowed {
		t.Errorf("%.3f retries per request, allowed %.3f", retries, allowed)
	}
}

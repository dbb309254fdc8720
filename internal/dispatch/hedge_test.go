package dispatch

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Guards against a request that waits for a slow server although another one is free,
// and against a slot that a hedged request does not release.
func TestHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newRunLog()
		a := newFakeServer("rail-01", log, respondAfter(5*time.Millisecond))
		b := newFakeServer("rail-02", log, respondAfter(5*time.Millisecond))
		env := newTestEnv(false, 3, Limits{}, a, b)
		defer env.close()
		for range 50 {
			_, err := env.holder.handle(t.Context(), newRequest(true))
			is.NoErr(err)
		}
		a.script, b.script = []behaviour{neverRespond}, nil
		b.script = []behaviour{neverRespond}
		start := time.Now()
		r := newRequest(true)
		_, err := env.holder.handle(t.Context(), r)
		is.True(err != nil) // neither server responds, so the hedge does not help
		is.Equal(log.count(r.ID), 2)
		is.Equal(time.Since(start), time.Second)
		for range 50 {
			a.script = []behaviour{neverRespond}
			r := newRequest(true)
			_, err := env.holder.handle(t.Context(), r)
			is.NoErr(err)
			synctest.Wait()
			is.Equal(env.holder.targets[0].Limiter.Outstanding()+env.holder.targets[1].Limiter.Outstanding(), 0)
		}
	})
}

// Guards against hedges that double the load when every server is slow: the retry
// budget allows 10% of the requests plus 3/s.
func TestHedgesStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const requests = 100
		log := newRunLog()
		a := newFakeServer("rail-01", log, respondAfter(5*time.Millisecond))
		b := newFakeServer("rail-02", log, respondAfter(5*time.Millisecond))
		env := newTestEnv(false, 3, Limits{MaxRetries: -1}, a, b)
		defer env.close()
		_, err := env.holder.handle(t.Context(), newRequest(true))
		is.NoErr(err)
		a.defaultBehaviour, b.defaultBehaviour = neverRespond, neverRespond
		start, runs := time.Now(), 0
		for range requests {
			r := newRequest(true)
			r.Deadline = time.Now().Add(100 * time.Millisecond)
			_, _ = env.holder.handle(t.Context(), r)
			runs += log.count(r.ID)
		}
		allowed := 0.1*(requests+1) + 3 + 3*time.Since(start).Seconds()
		is.True(runs > requests)
		is.True(float64(runs-requests) <= allowed)
	})
}

// Guards against a non-idempotent request that is hedged.
func TestNoHedgeOfNonIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newRunLog()
		a := newFakeServer("rail-01", log, respondAfter(time.Millisecond))
		b := newFakeServer("rail-02", log, respondAfter(time.Millisecond))
		env := newTestEnv(false, 3, Limits{}, a, b)
		defer env.close()
		_, err := env.holder.handle(t.Context(), newRequest(true))
		is.NoErr(err)
		a.script, b.script = []behaviour{respondAfter(500 * time.Millisecond)}, []behaviour{respondAfter(500 * time.Millisecond)}
		r := newRequest(false)
		_, err = env.holder.handle(t.Context(), r)
		is.NoErr(err)
		is.Equal(log.count(r.ID), 1)
	})
}

// Guards against a losing dispatch that keeps its slot while the winner's response is
// streamed: until the stream ends, the request's context does not cancel it.
func TestLoserIsCancelledDuringTheStream(t *testing.T) {
	const size = 2 * MaxBufferedResponseBytes
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newRunLog()
		a := newFakeServer("shashin-01", log, respondAfter(time.Millisecond))
		b := newFakeServer("shashin-02", log, respondAfter(time.Millisecond))
		env := newTestEnv(false, 3, Limits{}, a, b)
		defer env.close()
		_, err := env.holder.handle(t.Context(), newRequest(true))
		is.NoErr(err)
		var dispatches atomic.Int64
		slowThenLarge := func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
			if dispatches.Add(1) == 1 {
				return neverRespond(ctx, s, r)
			}
			return s.response(r.ID, io.NopCloser(strings.NewReader(strings.Repeat("x", size))), size), nil
		}
		a.defaultBehaviour, b.defaultBehaviour = slowThenLarge, slowThenLarge
		response, err := env.holder.dispatcher.Handle(t.Context(), newRequest(true))
		is.NoErr(err)
		synctest.Wait()
		is.Equal(dispatches.Load(), int64(2))
		is.Equal(env.holder.targets[0].Limiter.Running()+env.holder.targets[1].Limiter.Running(), 1)
		n, err := io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.Equal(n, int64(size))
		is.NoErr(response.Body.Close())
		is.Equal(env.holder.targets[0].Limiter.Running()+env.holder.targets[1].Limiter.Running(), 0)
	})
}

package dispatch

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// endlessBody yields start bytes at once and then a byte a second, until its context
// ends. It ends after a day, so that a test ends.
type endlessBody struct {
	ctx   context.Context
	start int
	ticks int
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.start > 0 {
		n := min(len(p), b.start)
		b.start -= n
		return n, nil
	}
	if b.ticks++; b.ticks > int(24*time.Hour/time.Second) {
		return 0, io.EOF
	}
	select {
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-time.After(time.Second):
		return 1, nil
	}
}

func (b *endlessBody) Close() error { return nil }

func respondEndlessly(start int) behaviour {
	return func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
		return s.response(r.ID, &endlessBody{ctx: ctx, start: start}, -1), nil
	}
}

// Guards against a response without end that keeps its slot and its key range, and its
// connection to the server, after the caller has left.
func TestEndlessStreamEndsWhenTheCallerLeaves(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "recorded": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := newFakeServer("shashin-01", newRunLog(), respondEndlessly(2*MaxBufferedResponseBytes))
				env := newTestEnv(true, 1, Limits{}, server)
				defer env.close()
				caller, leave := context.WithTimeout(t.Context(), time.Minute)
				defer leave()
				response, err := env.holder.dispatcher.Handle(caller, newRequest(idempotent))
				is.NoErr(err)
				start := time.Now()
				_, err = io.Copy(io.Discard, response.Body)
				is.True(err != nil)
				is.True(time.Since(start) <= time.Minute)
				is.Equal(env.holder.targets[0].Limiter.Running(), 0)
				is.Equal(env.holder.views.Load().Ranges[0].State.InFlight.Load(), int64(0))
				is.NoErr(response.Body.Close())
			})
		})
	}
}

// Guards against a response without end that is buffered past the deadline of its request,
// and against reporting such a request as not run.
func TestSlowEndlessResponseEndsAtTheDeadline(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "recorded": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := newFakeServer("shashin-01", newRunLog(), respondEndlessly(1))
				env := newTestEnv(true, 1, Limits{}, server)
				defer env.close()
				r := newRequest(idempotent)
				_, err := env.holder.dispatcher.Handle(t.Context(), r)
				is.True(err != nil)
				is.Equal(problem.From(err).Kind, problem.KindDeadlinePassed)
				is.Equal(problem.From(err).Outcome, outcome.Unknown)
				is.True(!time.Now().After(r.Deadline))
				is.Equal(env.holder.targets[0].Limiter.Running(), 0)
			})
		})
	}
}

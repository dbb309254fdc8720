package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Guards against a planned hand-over after which the outcome of an order is unknown that
// only waited for a slot: the mirrors counted it as dispatched.
func TestQueuedOrderRunsAtTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), respondAfter(10*time.Millisecond))
		env := newTestEnv(true, 3, Limits{}, server)
		defer env.close()
		env.holder.targets[0].Limiter.SetInheritedSlots(3) // no slot is free
		r := newRequest(false)
		ended := make(chan error, 1)
		go func() { _, err := env.holder.handle(context.Background(), r); ended <- err }()
		time.Sleep(50 * time.Millisecond)
		began := time.Now()
		env.holder.dispatcher.CloseQueue()
		err := <-ended
		is.Equal(problem.From(err).Kind, problem.KindNotHolder)
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
		is.Equal(time.Since(began), time.Duration(0)) // at once
		env.holder.table.Flush(t.Context())
		env.holder.endTenure()
		next := env.successor(3, []*fakeServer{server}, false)
		defer next.close()
		_, err = next.handle(t.Context(), resend(r))
		is.NoErr(err)
		is.Equal(env.log.count(r.ID), 1)
	})
}

// Guards against orders that are refused for good after a hand-over that has failed.
func TestQueueOpensAfterAFailedHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), respondAfter(10*time.Millisecond))
		env := newTestEnv(true, 3, Limits{}, server)
		defer env.close()
		r := newRequest(false)
		env.holder.dispatcher.CloseQueue()
		_, err := env.holder.handle(t.Context(), r)
		is.Equal(problem.From(err).Kind, problem.KindNotHolder)
		is.Equal(env.log.count(r.ID), 0)
		env.holder.dispatcher.OpenQueue()
		_, err = env.holder.handle(t.Context(), resend(r))
		is.NoErr(err)
		is.Equal(env.log.count(r.ID), 1)
	})
}

// Guards against a second sending of an order that its server takes for the first one.
func TestSecondSendingIsMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var marks []bool
		mark := func(then behaviour) behaviour {
			return func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
				marks = append(marks, r.Resent)
				return then(ctx, s, r)
			}
		}
		server := newFakeServer("bosho-01", newRunLog(), mark(respondAfter(time.Millisecond)), mark(shedRequest), mark(shedRequest), mark(shedRequest))
		env := newTestEnv(true, 3, Limits{MaxRetries: 2}, server)
		defer env.close()
		r := newRequest(false)
		_, err := env.holder.handle(t.Context(), r)
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
		_, err = env.holder.handle(t.Context(), resend(r)) // by the caller
		is.NoErr(err)
		is.Equal(marks, []bool{false, true, true, true})
	})
}

package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// Guards against a resend that runs a second time or gets another response. Resends come
// while the request runs, after it has ended, and with other content.
func TestResends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), respondAfter(100*time.Millisecond))
		env := newTestEnv(true, 3, Limits{}, server)
		defer env.close()
		r := newRequest(false)
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() {
				text, err := env.holder.handle(context.Background(), resend(r))
				if err != nil || text != "response to "+r.ID {
					t.Errorf("resend got %q, %v", text, err)
				}
			})
		}
		wg.Wait()
		replayed, err := env.holder.dispatcher.Handle(t.Context(), resend(r))
		is.NoErr(err)
		is.True(replayed.Replayed)
		other := resend(r)
		other.Digest++
		_, err = env.holder.handle(t.Context(), other)
		is.Equal(problem.From(err).Kind, problem.KindIDReused)
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
		is.Equal(env.log.count(r.ID), 1)
	})
}

// Guards against a request that is cancelled although a resend still waits for it, and
// against one that continues and keeps its slot after all callers have left.
func TestCallersLeave(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		resends    int
		wantErr    bool
	}{
		{"idempotent", true, 0, true},
		{"not idempotent", false, 0, true},
		{"not idempotent, a resend waits", false, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := newFakeServer("bosho-01", newRunLog(), respondAfter(500*time.Millisecond))
				env := newTestEnv(true, 1, Limits{}, server)
				defer env.close()
				r := newRequest(c.idempotent)
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan error, 2)
				go func() { _, err := env.holder.handle(ctx, r); ended <- err }()
				time.Sleep(50 * time.Millisecond)
				for range c.resends {
					go func() { _, err := env.holder.handle(context.Background(), resend(r)); ended <- err }()
				}
				synctest.Wait()
				cancel()
				synctest.Wait()
				is.Equal(env.holder.targets[0].Limiter.Running() == 0, c.wantErr)
				err := <-ended
				is.Equal(err != nil, c.wantErr)
				if err != nil {
					is.Equal(problem.From(err).Kind, problem.KindCallerGone)
					is.Equal(problem.From(err).Outcome, outcome.Unknown)
				}
				is.Equal(env.log.count(r.ID), 1)
			})
		})
	}
}

// Guards against a cancellation at the moment of the response that leaks a slot or leads
// to a false outcome.
func TestCancelRacingWithResponse(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			server := newFakeServer("bosho-01", newRunLog(), respondAfter(10*time.Millisecond))
			env := newTestEnv(true, 1, Limits{}, server)
			defer env.close()
			for range 200 {
				r := newRequest(idempotent)
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(10*time.Millisecond, cancel)
				text, err := env.holder.handle(ctx, r)
				cancel()
				synctest.Wait()
				is.Equal(env.holder.targets[0].Limiter.Outstanding(), 0)
				if err == nil {
					is.Equal(text, "response to "+r.ID)
				} else if env.log.count(r.ID) > 0 {
					is.Equal(problem.From(err).Outcome, outcome.Unknown)
				}
			}
		})
	}
}

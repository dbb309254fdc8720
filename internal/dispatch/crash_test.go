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
	"peridotmoor.org/peridotmoor/internal/quarantine"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Guards against a request that crashes one server after another: after two crashes
// it is refused. Also guards against a quarantine that does not expire.
func TestCrashingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), respondAfter(time.Millisecond), respondAfter(0), crashServer, crashServer)
		env := newTestEnv(true, 3, Limits{MaxRetries: -1}, server)
		defer env.close()
		_, err := env.holder.handle(t.Context(), newRequest(true)) // lets the dispatcher learn the incarnation before the crashes
		is.NoErr(err)
		send := func() (*request.Request, error) {
			r := newRequest(false)
			_, err := env.holder.handle(t.Context(), r)
			time.Sleep(10 * time.Second)
			return r, err
		}
		for range 2 {
			_, err := send()
			is.Equal(problem.From(err).Outcome, outcome.Unknown)
		}
		refused, err := send()
		is.Equal(problem.From(err).Kind, problem.KindQuarantined)
		is.Equal(problem.From(err).Outcome, outcome.NotRun)
		is.Equal(env.log.count(refused.ID), 0)
		time.Sleep(10 * time.Minute)
		_, err = send()
		is.NoErr(err)
	})
}

// Guards against a marked request that runs beside others on its server, and against
// a mark that stays after the request has succeeded.
func TestMarkedRequestRunsExclusively(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), respondAfter(20*time.Millisecond))
		env := newTestEnv(true, 3, Limits{}, server)
		defer env.close()
		marked := newRequest(true)
		fingerprint := quarantine.FingerprintOf(marked)
		env.holder.quarantine.Mark("bosho", []quarantine.Fingerprint{fingerprint}, time.Now())
		var wg sync.WaitGroup
		var ranExclusively bool
		server.defaultBehaviour = func(ctx context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
			if r.ID == marked.ID {
				ranExclusively = s.running.Load() == 1
			}
			response, err := respondAfter(20*time.Millisecond)(ctx, s, r)
			if r.ID == marked.ID {
				ranExclusively = ranExclusively && s.running.Load() == 1
			}
			return response, err
		}
		for i := range 9 {
			wg.Go(func() {
				r := newRequest(true)
				r.Digest = uint64(100 + i)
				if i == 4 {
					r = marked
				}
				if _, err := env.holder.handle(context.Background(), r); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		is.True(ranExclusively)
		is.Equal(server.maxRunning.Load(), int64(3))
		verdict, _ := env.holder.quarantine.Verdict(fingerprint, time.Now())
		is.Equal(verdict, quarantine.Unrestricted)
	})
}

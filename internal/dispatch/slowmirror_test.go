package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// Guards against a new holder that knows no earlier request for seconds, and answers all
// orders "unknown", although its mirrors live: they were slow, or a first call to each failed.
func TestNewHolderWaitsForTheRecords(t *testing.T) {
	cases := []struct {
		name          string
		fetchDelay    time.Duration
		failedFetches int
	}{
		{"the mirrors answer at once", 0, 0},
		{"the mirrors answer after 600 ms", 600 * time.Millisecond, 0},
		{"the first calls fail", 0, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := newFakeServer("bosho-01", newRunLog(), respondAfter(10*time.Millisecond))
				env := newTestEnv(true, 3, Limits{}, server)
				defer env.close()
				earlier := newRequest(false)
				_, err := env.holder.handle(t.Context(), earlier)
				is.NoErr(err)
				time.Sleep(100 * time.Millisecond) // the mirrors get the response
				env.holder.endTenure()
				env.network.fetchDelay, env.network.failedFetches = c.fetchDelay, c.failedFetches
				next := env.successor(3, []*fakeServer{server}, false)
				defer next.close()
				later := newRequest(false)
				_, err = next.handle(t.Context(), later)
				is.NoErr(err)
				_, err = next.handle(t.Context(), resend(earlier))
				is.NoErr(err) // the recorded response
				is.Equal(env.log.count(earlier.ID), 1)
				is.Equal(env.log.count(later.ID), 1)
			})
		})
	}
}

// Guards against an order that waits for the records for longer than its caller does.
func TestOrderWaitsForTheRecordsUntilItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), respondAfter(10*time.Millisecond))
		env := newTestEnv(true, 3, Limits{}, server)
		defer env.close()
		env.network.fetchDelay = time.Hour
		next := env.successor(3, []*fakeServer{server}, false)
		defer next.close()
		r := newRequest(false)
		_, err := next.handle(t.Context(), r)
		is.Equal(problem.From(err).Kind, problem.KindRecordsLost)
		is.Equal(problem.From(err).Outcome, outcome.Unknown)
		is.True(time.Now().Before(r.Deadline))
		time.Sleep(5 * time.Second) // the records are given up
		_, err = next.handle(t.Context(), newRequest(false))
		is.NoErr(err)
	})
}

// Guards against orders that count as unknown after a hand-over because all mirrors had been
// slow for a moment: the set that the witnesses knew was empty, although its former members
// had the records of all requests.
func TestMirrorsThatWereLostForAMomentKeepTheRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := newFakeServer("bosho-01", newRunLog(), respondAfter(10*time.Millisecond))
		env := newTestEnv(true, 3, Limits{}, server)
		defer env.close()
		earlier := newRequest(false)
		_, err := env.holder.handle(t.Context(), earlier)
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond) // the mirrors get the response
		for _, unreachable := range []bool{true, false} {
			env.network.setUnreachable(instance(1), unreachable)
			env.network.setUnreachable(instance(2), unreachable)
			if unreachable {
				_, err = env.holder.handle(t.Context(), newRequest(false))
				is.Equal(problem.From(err).Kind, problem.KindMirrorUnavailable)
			}
		}
		env.holder.endTenure()
		next := env.successor(3, []*fakeServer{server}, false)
		defer next.close()
		_, err = next.handle(t.Context(), resend(earlier))
		is.NoErr(err)
		is.Equal(env.log.count(earlier.ID), 1)
	})
}

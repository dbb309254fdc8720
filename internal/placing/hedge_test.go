package placing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// newHedgingScheduler returns a scheduler that allows a hedge for each second request, after
// the given number of requests, which have ended.
func newHedgingScheduler(keyed bool, requests uint64, servers ...fleet.Server) *Scheduler {
	sched := New(RetryBudget{Window: 10 * time.Second, Ratio: 1, Extra: 20, HedgeShare: 0.5}, &soleOwner{name: "a"}, rand.New(rand.NewPCG(1, 2)))
	sched.Update(start, map[string]*fleet.Service{"s": {Name: "s", Keyed: keyed}}, servers, func(s *fleet.Server) bool { return s.Leaving })
	for n := range requests {
		sched.Submit(start, newAttempt(1000+n, start))
		for _, d := range sched.TakeDecisions() {
			sched.Complete(start, Completion{AttemptID: d.AttemptID, Server: d.Server, Outcome: Answered, Duration: 50 * time.Millisecond})
		}
	}
	return sched
}

func newHedge(n uint64, now time.Time, tried ...string) Attempt {
	a := newAttempt(n, now)
	a.Tried, a.Hedge, a.Resubmitted = tried, true, true
	return a
}

func submitHedge(t *testing.T, sched *Scheduler, a Attempt) Decision {
	t.Helper()
	sched.Submit(start, a)
	d, decided := findDecision(sched.TakeDecisions(), a.AttemptID.Number)
	if !decided {
		t.Fatal("the hedge is queued")
	}
	return d
}

// Guards against a hedge to the server that is slow, to one without a free slot, to one that
// is leaving, and against a hedge that is queued.
func TestHedgeGoesToAnotherFreeServerAtOnce(t *testing.T) {
	is := is.New(t)
	leaving := backend("c", "d1")
	leaving.Leaving = true
	sched := newHedgingScheduler(false, 20, backend("a", "d1"), backend("b", "d1"), leaving)
	is.Equal(submitHedge(t, sched, newHedge(1, start, "a")).Server, "b")
	is.Equal(submitHedge(t, sched, newHedge(2, start, "a", "b")).Reason, ReasonNoHedge)
}

// Guards against hedges of a keyed service, whose other servers do not own the key.
func TestNoHedgeOfAKeyedService(t *testing.T) {
	is := is.New(t)
	sched := newHedgingScheduler(true, 0, backend("a", "d1"), backend("b", "d1"))
	a := newHedge(1, start, "a")
	a.Key = 5
	is.Equal(submitHedge(t, sched, a).Reason, ReasonNoHedge)
}

// Guards against hedges where the setting is off, and by a holder that is not alone.
func TestNoHedgeWithoutTheSettingOrBesideAnotherHolder(t *testing.T) {
	is := is.New(t)
	off := newScheduler(false, &soleOwner{}, backend("a", "d1"), backend("b", "d1"))
	off.Submit(start, newAttempt(1, start))
	off.TakeDecisions()
	is.Equal(submitHedge(t, off, newHedge(2, start, "a")).Reason, ReasonNoHedge)
	shared := newHedgingScheduler(false, 20, backend("a", "d1"), backend("b", "d1"))
	shared.exclusive = false
	is.Equal(submitHedge(t, shared, newHedge(1, start, "a")).Reason, ReasonNoHedge)
}

// Guards against hedges that take the slots which waiting requests, returning callers or the
// next requests need.
func TestHedgesStopWhenTheServiceIsShortOfCapacity(t *testing.T) {
	is := is.New(t)
	sched := newHedgingScheduler(false, 100, backend("a", "d1"), backend("b", "d1"))
	for n := range uint64(5) {
		sched.Submit(start, newAttempt(n, start))
	}
	sched.TakeDecisions()
	tried := "a"
	if sched.services["s"].servers["a"].hasFreeSlot(start) {
		tried = "b"
	}
	is.True(submitHedge(t, sched, newHedge(10, start, tried)).Server != "") // one of six slots is free
	sched.Complete(start, Completion{AttemptID: AttemptID{"i", 10}, Server: map[string]string{"a": "b", "b": "a"}[tried], Outcome: Cancelled})
	sched.services["s"].returns.places = []time.Time{start.Add(time.Millisecond)}
	is.Equal(submitHedge(t, sched, newHedge(11, start, tried)).Reason, ReasonNoHedge) // a caller is to return
	sched.services["s"].returns.places = nil
	sched.services["s"].queue.insert(&queuedAttempt{Attempt: newAttempt(12, start)})
	is.Equal(submitHedge(t, sched, newHedge(13, start, tried)).Reason, ReasonNoHedge) // a request is queued
	sched.Cancel(AttemptID{"i", 12})
	var servers []fleet.Server
	for _, name := range []string{"a", "b", "c", "d"} {
		servers = append(servers, backend(name, "d1"))
	}
	busy := newHedgingScheduler(false, 100, servers...)
	for n := range uint64(11) {
		busy.Submit(start, newAttempt(n, start))
	}
	busy.TakeDecisions()
	is.Equal(submitHedge(t, busy, newHedge(20, start, "x")).Reason, ReasonNoHedge) // 1 of 12 slots is free
}

// Guards against a cancelled attempt that is taken for a failure of its server, or whose
// short time makes the server look fast.
func TestCancelledAttemptIsNoFailure(t *testing.T) {
	is := is.New(t)
	sched := newHedgingScheduler(false, 20, backend("a", "d1"), backend("b", "d1"))
	d := submitHedge(t, sched, newHedge(1, start, "a"))
	s := sched.services["s"].servers[d.Server]
	before := s.serviceTime
	sched.Complete(start, Completion{AttemptID: d.AttemptID, Server: d.Server, Outcome: Cancelled, Duration: time.Millisecond})
	is.True(s.hasFreeSlot(start))
	is.Equal(len(s.inFlight), 0)
	is.Equal(s.consecutiveFailures, 0)
	is.Equal(s.serviceTime, before)
	sched.Complete(start, Completion{AttemptID: d.AttemptID, Server: d.Server, Outcome: Cancelled, Duration: time.Second})
	is.True(before == 0 || s.serviceTime > before) // it was slow
}

// Guards against retries and hedges that exceed the retry budget together, and hedges that
// exceed their share, in the window that ends with each of them; and against hedges that
// exceed their part of the budget in any window.
func TestRetriesAndHedgesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := RetryBudget{
			Window: 10 * time.Second, Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Extra: rapid.Float64Range(0, 10).Draw(t, "extra"),
			HedgeShare: rapid.Float64Range(0, 0.5).Draw(t, "share"),
		}
		sched := New(budget, &soleOwner{}, rand.New(rand.NewPCG(1, 2)))
		var servers []fleet.Server
		for _, name := range []string{"a", "b", "c", "d"} {
			s := backend(name, "d1")
			s.Slots = 1000
			servers = append(servers, s)
		}
		sched.Update(start, map[string]*fleet.Service{"s": {Name: "s"}}, servers, func(*fleet.Server) bool { return false })
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now, number := start, uint64(0)
		var requests, hedges, retries []time.Time
		within := func(times []time.Time) (n float64) {
			for i := len(times) - 1; i >= 0 && now.Sub(times[i]) < budget.Window; i-- {
				n++
			}
			return n
		}
		for range 1500 {
			if random.IntN(100) == 0 {
				now = now.Add(time.Duration(random.IntN(8000)) * time.Millisecond) // requests come in bursts
			}
			now = now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
			number++
			a := newAttempt(number, now)
			kind := random.IntN(4)
			switch kind {
			case 0:
				a = newHedge(number, now, "a")
			case 1:
				a.Tried, a.Resubmitted = []string{"a"}, true
			}
			sched.Submit(now, a)
			d, _ := findDecision(sched.TakeDecisions(), number)
			switch {
			case kind > 1:
				requests = append(requests, now)
			case d.Server == "":
			case kind == 0:
				hedges = append(hedges, now)
				if within(hedges) > budget.HedgeShare*within(requests) {
					t.Fatalf("%v hedges of %v requests", within(hedges), within(requests))
				}
			default:
				retries = append(retries, now)
			}
			if d.Server != "" {
				sched.Complete(now, Completion{AttemptID: a.AttemptID, Server: d.Server, Outcome: Answered, Duration: 10 * time.Millisecond})
			}
			if kind < 2 && d.Server != "" && within(hedges)+within(retries) > budget.Ratio*within(requests)+budget.Extra {
				t.Fatalf("%v hedges and %v retries of %v requests", within(hedges), within(retries), within(requests))
			}
			if within(hedges) > 0.5*(budget.Ratio*within(requests)+budget.Extra) {
				t.Fatalf("%v hedges of %v requests in a later window", within(hedges), within(requests))
			}
		}
	})
}

package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fillOwner submits n attempts for a key of server a, which runs 4 of them, and drops the
// decisions.
func fillOwner(sched *Scheduler, n int) {
	for i := range uint64(n) {
		a := newAttempt(i, start)
		a.Key, a.Priority, a.ContentHash = 7, 5, i+1
		sched.Submit(start, a)
	}
	sched.TakeDecisions()
}

// Guards against a queued request that is overtaken, cannot be served in time any more, and
// learns of it only at its deadline.
func TestOvertakenRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	sched := newScheduler(true, &soleOwner{name: "a"}, backend("a", "d1"))
	fillOwner(sched, 100)
	queued := sched.services["s"].servers["a"].queue.waiting
	last := queued[len(queued)-1].AttemptID
	refused := 0
	for n := range uint64(5) { // as many as slots may be late
		urgent := newAttempt(1000+n, start)
		urgent.Key, urgent.Priority = 7, 1
		sched.Submit(start, urgent)
		for _, d := range sched.TakeDecisions() {
			refused++
			is.Equal(d.Server, "")
			is.True(d.RetryAfter >= minRetryAfter)
			if refused == 1 {
				is.Equal(d.AttemptID, last)
			}
		}
	}
	is.Equal(refused, 2)
}

// Guards against a late request that waits until its deadline while others are served.
func TestLateRequestIsRefusedWhenAnotherPassesIt(t *testing.T) {
	is := is.New(t)
	sched := newScheduler(true, &soleOwner{name: "a"}, backend("a", "d1"))
	fillOwner(sched, 5)
	now := start.Add(400 * time.Millisecond) // too late for the two that wait
	fresh := newAttempt(100, now)
	fresh.Key, fresh.Priority = 7, 5
	sched.Submit(now, fresh)
	is.Equal(len(sched.TakeDecisions()), 0)
	sched.Complete(now, Completion{AttemptID: AttemptID{"i", 0}, Server: "a", Outcome: Answered, Duration: 150 * time.Millisecond})
	decisions := sched.TakeDecisions()
	served, found := findDecision(decisions, 100)
	is.True(found && served.Server == "a")
	first, found := findDecision(decisions, 3) // takes the slot that is left
	is.True(found && first.Server == "a")
	late, found := findDecision(decisions, 4)
	is.True(found && late.Server == "" && late.Reason == ReasonOverload)
}

// Guards against requests that any server may run and that wait for a refusal beyond their
// latency target, and against a queue so long that many of them end late.
func TestRefusalsComeEarlyWithoutKeys(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		pattern loadPattern
		inTime  float64
	}{{burst(false, 1.5), 0.79}, {burst(false, 3), 0.50}, {withTarget(burst(false, 2), 600*time.Millisecond), 0.64}, {loudTeam(1.4), 0.61}} {
		all := &loadResult{}
		for seed := range uint64(5) {
			all.add(replay(t, c.pattern, seed).total)
		}
		t.Log(all)
		is.True(percentile(all.verdictDelays, 0.99) <= time.Second)
		is.True(float64(all.inTime)/float64(all.sent) >= c.inTime)
	}
}

// Guards against keyed requests that wait for a refusal beyond their latency target, after
// which a return is late for certain, and against late requests that take the capacity of a
// slow server from those that can still be in time.
func TestRefusalsComeEarlyAtSlowOwners(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		pattern loadPattern
		inTime  float64
	}{{hotKey(0.5, 1.5), 0.48}, {withTarget(hotKey(1, 1.5), 600*time.Millisecond), 0.5}, {hotNeighbours(), 0.74}, {burst(true, 1.5), 0.78}} {
		all := &loadResult{}
		for seed := range uint64(5) {
			all.add(replay(t, c.pattern, seed).total)
		}
		t.Log(all)
		is.True(percentile(all.verdictDelays, 0.99) <= time.Second)
		is.True(float64(all.inTime)/float64(all.sent) >= c.inTime)
	}
}

package placing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// The bounds of the platform's pages: in any window a server may get limitRatio times what
// its limit allows, and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
)

// nameLimit makes the scheduler know the limit of all servers.
func nameLimit(sched *Scheduler, perSecond float64) {
	sched.SetLimits(func(fleet.Incarnation) backpressure.Limit {
		return backpressure.Limit{Named: true, PerSecond: perSecond}
	})
}

// limitLoad is a load of requests, some of them retries, that servers answer.
type limitLoad struct {
	random *rand.Rand
	number uint64
	// assignedAt holds the times of the assignments to server a.
	assignedAt []time.Time
}

// step submits requests of a step of the load to the scheduler and answers those that are assigned.
func (l *limitLoad) step(sched *Scheduler, now time.Time, key, count int) {
	for range count {
		l.number++
		a := Attempt{AttemptID: AttemptID{Instance: "i", Number: l.number}, Service: "s", Key: key, Domain: "d1",
			SoftDeadline: now.Add(400 * time.Millisecond), Deadline: now.Add(1500 * time.Millisecond)}
		if l.random.IntN(4) == 0 {
			a.Resubmitted, a.Tried = true, []string{"x"}
		}
		sched.Submit(now, a)
	}
	sched.Tick(now)
	for _, d := range sched.TakeDecisions() {
		if d.Server == "a" {
			l.assignedAt = append(l.assignedAt, now)
		}
		if d.Server != "" {
			sched.Complete(now, Completion{AttemptID: d.AttemptID, Server: d.Server, Outcome: Answered, Duration: 10 * time.Millisecond})
		}
	}
}

// mostInWindow returns the largest number of assignments in any window.
func (l *limitLoad) mostInWindow() int {
	most, first := 0, 0
	for last, at := range l.assignedAt {
		for at.Sub(l.assignedAt[first]) >= limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

const loadStep = 20 * time.Millisecond

// Guards against a server that gets more than it takes, from requests and retries
// together, and against one that gets much less although requests wait for it.
func TestNamedLimitIsKeptInEveryWindow(t *testing.T) {
	for name, key := range map[string]int{"keyed": 5, "not keyed": NoKey} {
		for _, rate := range []float64{0, 0.5, 2.5, 7.5, 40} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				sched := newScheduler(key != NoKey, &soleOwner{name: "a"}, backend("a", "d1"))
				nameLimit(sched, rate)
				load := &limitLoad{random: rand.New(rand.NewPCG(1, 2))}
				now := start
				for range 1000 {
					load.step(sched, now, key, 2) // 100/s
					now = now.Add(loadStep)
				}
				is.True(float64(load.mostInWindow()) <= max(rate, 0.25)*(limitWindow.Seconds()+1)+1.5)
				is.True(float64(load.mostInWindow()) <= limitRatio*rate*limitWindow.Seconds()+limitSlack)
				is.True(float64(len(load.assignedAt)) >= 0.85*rate*20)
			})
		}
	}
}

// Guards against a limit that is used twice, by a holder and its successor, which does not
// know what the former has sent, or by two holders at the same time.
func TestNamedLimitIsKeptOverHolders(t *testing.T) {
	const rate = 2.5
	newHolder := func(share float64) *Scheduler {
		sched := newScheduler(true, &soleOwner{name: "a"}, backend("a", "d1"))
		nameLimit(sched, rate)
		sched.SetShare(share)
		return sched
	}
	t.Run("in turn", func(t *testing.T) {
		load := &limitLoad{random: rand.New(rand.NewPCG(1, 2))}
		now := start
		for range 8 { // each holder lasts for 1.5 s
			sched := newHolder(1)
			for range 75 {
				load.step(sched, now, 5, 2)
				now = now.Add(loadStep)
			}
		}
		is.New(t).True(float64(load.mostInWindow()) <= limitRatio*rate*limitWindow.Seconds()+limitSlack)
	})
	t.Run("at the same time", func(t *testing.T) {
		is := is.New(t)
		load := &limitLoad{random: rand.New(rand.NewPCG(1, 2))}
		holders := []*Scheduler{newHolder(0.6), newHolder(0.4)}
		now := start
		for range 1000 {
			for _, sched := range holders {
				load.step(sched, now, 5, 2)
			}
			now = now.Add(loadStep)
		}
		is.True(float64(load.mostInWindow()) <= limitRatio*rate*limitWindow.Seconds()+limitSlack)
		is.True(float64(len(load.assignedAt)) >= 0.85*rate*20) // together they use the whole limit
	})
}

// Guards against requests for the keys of a limited owner that wait until their deadline,
// and against servers without a limit that are not used while one with a limit has none left.
func TestRequestsBeyondALimitAreRefusedOrGoElsewhere(t *testing.T) {
	is := is.New(t)
	sched := newScheduler(true, &soleOwner{name: "a"}, backend("a", "d1"))
	nameLimit(sched, 1)
	for n := range uint64(10) {
		a := newAttempt(n, start)
		a.Key = 5
		sched.Submit(start, a)
	}
	refused := 0
	for _, d := range sched.TakeDecisions() {
		is.Equal(d.Reason, ReasonLimit)
		is.True(d.RetryAfter >= time.Second)
		refused++
	}
	is.True(refused >= 9) // at once

	sched = newScheduler(false, &soleOwner{}, backend("a", "d1"), backend("b", "d1"))
	sched.SetLimits(func(s fleet.Incarnation) backpressure.Limit {
		return backpressure.Limit{Named: s.Name == "a", PerSecond: 1}
	})
	for n := range uint64(3) {
		sched.Submit(start, newAttempt(n, start))
	}
	for _, d := range sched.TakeDecisions() {
		is.Equal(d.Server, "b")
	}
}

// Guards against a cold server whose named limit raises its rate, and against a limit that
// goes on after it has ended.
func TestLowerOfTwoLimitsHolds(t *testing.T) {
	for _, tc := range []struct {
		name  string
		cold  bool
		limit backpressure.Limit
		want  float64
	}{
		{"cold, higher limit", true, backpressure.Limit{Named: true, PerSecond: 50}, 5},
		{"cold, lower limit", true, backpressure.Limit{Named: true, PerSecond: 2}, 2},
		{"cold, no limit", true, backpressure.Limit{}, 5},
		{"warm", false, backpressure.Limit{Named: true, PerSecond: 2}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			server := backend("a", "d1")
			if tc.cold {
				server.ColdUntil = start.Add(time.Hour)
			}
			sched := newScheduler(true, &soleOwner{name: "a"}, server)
			sched.SetLimits(func(fleet.Incarnation) backpressure.Limit { return tc.limit })
			load := &limitLoad{random: rand.New(rand.NewPCG(1, 2))}
			now := start
			for range 500 {
				load.step(sched, now, 5, 2)
				now = now.Add(loadStep)
			}
			is.True(float64(len(load.assignedAt)) >= 0.8*tc.want*10)
			is.True(float64(len(load.assignedAt)) <= tc.want*11+1.5)
			if !tc.cold {
				sched.SetLimits(func(fleet.Incarnation) backpressure.Limit { return backpressure.Limit{} })
				before := len(load.assignedAt)
				load.step(sched, now, 5, 3)
				is.True(len(load.assignedAt) >= before+3) // and those that waited
			}
		})
	}
}

package placing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a record with a server as slow because of a momentary slowdown or because requests
// wait for its slots: the next holder would give it too few keys.
func TestRelativeTimesIgnoreNoiseAndQueueing(t *testing.T) {
	is := is.New(t)
	owner := &soleOwner{name: "a"}
	sched := newScheduler(true, owner, backend("a", "d1"), backend("b", "d1"), backend("c", "d1"))
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	// serve ends requests that take the given time at a server, of which running are there at once.
	serve := func(name string, work, slowdown float64, running int) {
		owner.name = name
		waiting := float64(max(running, 3)) / 3
		for i := range running {
			a := newAttempt(uint64(i), now)
			a.Key = 1
			sched.Submit(now, a)
		}
		for i := range running {
			seconds := work * slowdown * waiting * (0.5 + random.Float64())
			sched.Complete(now, Completion{AttemptID: newAttempt(uint64(i), now).AttemptID, Server: name, Outcome: Answered,
				Duration: time.Duration(seconds * float64(time.Second)), Load: Load{Known: true, SlowdownFactor: slowdown}})
			for _, d := range sched.TakeDecisions() {
				is.True(d.Server != "")
			}
		}
	}
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		serve("a", 0.1, 1+random.Float64(), 1)
		serve("b", 0.2, 1+random.Float64(), 1)
		serve("c", 0.1, 1+random.Float64(), 3)
	}
	times := sched.RelativeTimes()
	a, b, c := times.Of("s", "a"), times.Of("s", "b"), times.Of("s", "c")
	is.True(math.Abs(b/a-2) < 0.3)
	is.True(math.Abs(c/a-1) < 0.15)
	for range 2 {
		serve("a", 0.1, 3, 1)
	}
	is.True(sched.RelativeTimes().Of("s", "a") < 1.1*a) // two slow moments
}

// Guards against wrong speeds from requests that waited for a slot.
func TestNormalizedTime(t *testing.T) {
	is := is.New(t)
	is.Equal(normalizedTime(0.5, 0, 2, 4), 0.5)
	is.Equal(normalizedTime(0.5, 2, 4, 4), 0.25)
	is.Equal(normalizedTime(0.5, 2, 5, 4), 0.2)
}

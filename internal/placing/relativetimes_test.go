package placing

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Guards against a holder or a restarted server whose speed must be learned from nothing, and
// against times from a few responses in the record.
func TestRelativeTimesAreInherited(t *testing.T) {
	is := is.New(t)
	owner := &soleOwner{}
	servers := []fleet.Server{backend("a", "d1"), backend("b", "d1"), backend("c", "d1")}
	sched := newScheduler(true, owner, servers...)
	now := start
	n := uint64(0)
	for range 100 {
		for name, took := range map[string]time.Duration{"a": 100 * time.Millisecond, "b": 300 * time.Millisecond} {
			owner.name = name
			n++
			a := newAttempt(n, now)
			a.Key = 1
			sched.Submit(now, a)
			sched.Complete(now, Completion{AttemptID: a.AttemptID, Server: name, Outcome: Answered, Duration: took})
		}
		now = now.Add(time.Second)
	}
	times := sched.RelativeTimes()
	is.True(times.Of("s", "b")/times.Of("s", "a") > 2)
	is.Equal(times.Of("s", "c"), 0.0)

	successor := New(RetryBudget{}, owner, nil)
	successor.UseRelativeTimes(times)
	successor.Update(now, map[string]*fleet.Service{"s": {Name: "s", Keyed: true}}, servers, func(*fleet.Server) bool { return false })
	is.True(math.Abs(successor.ServiceTime("s", "b")/successor.ServiceTime("s", "a")-times.Of("s", "b")/times.Of("s", "a")) < 0.01)
	is.Equal(successor.RelativeTimes(), times) // also if it ends before it has learned any

	servers[1].StartMS++
	sched.Update(now, map[string]*fleet.Service{"s": {Name: "s", Keyed: true}}, servers, func(*fleet.Server) bool { return false })
	is.True(sched.ServiceTime("s", "b")/sched.ServiceTime("s", "a") > 2)
}

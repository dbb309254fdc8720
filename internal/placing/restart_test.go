package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Guards against attempts that never get a decision because they were queued for an earlier
// incarnation of the owner of their key.
func TestAttemptsQueuedForARestartedServerAreDecided(t *testing.T) {
	is := is.New(t)
	sched := newScheduler(true, &soleOwner{name: "a"}, backend("a", "d1"))
	for n := range uint64(4) {
		attempt := newAttempt(n, start)
		attempt.Key = 1
		sched.Submit(start, attempt)
	}
	is.Equal(len(sched.TakeDecisions()), 3) // one is queued
	restarted := backend("a", "d1")
	restarted.StartMS++
	services := map[string]*fleet.Service{"s": {Name: "s", Keyed: true, ColdRate: 5}}
	sched.Update(start, services, []fleet.Server{restarted}, func(*fleet.Server) bool { return false })
	sched.Tick(start.Add(2 * time.Second))
	_, decided := findDecision(sched.TakeDecisions(), 3)
	is.True(decided)
}

// Guards against a server that still gets requests of a service that it no longer belongs to.
func TestServerThatChangesItsServiceLeavesTheEarlierOne(t *testing.T) {
	is := is.New(t)
	sched := newScheduler(false, &soleOwner{}, backend("a", "d1"))
	moved := backend("a", "d1")
	moved.Service = "other"
	services := map[string]*fleet.Service{"s": {Name: "s", ColdRate: 5}, "other": {Name: "other", ColdRate: 5}}
	sched.Update(start, services, []fleet.Server{moved}, func(*fleet.Server) bool { return false })
	sched.Submit(start, newAttempt(1, start))
	decision, decided := findDecision(sched.TakeDecisions(), 1)
	is.True(decided)
	is.Equal(decision.Server, "")
}

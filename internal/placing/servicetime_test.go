package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are refused because the first response of a server took long by
// chance, and against a server that has become slow unnoticed.
func TestFewResponsesDoNotMakeAServerSlow(t *testing.T) {
	is := is.New(t)
	owner := &soleOwner{name: "b"}
	sched := newScheduler(true, owner, backend("a", "d1"), backend("b", "d1"))
	now, n := start, uint64(0)
	serve := func(name string, took time.Duration) {
		owner.name = name
		n++
		a := newAttempt(n, now)
		a.Key = 1
		sched.Submit(now, a)
		sched.Complete(now, Completion{AttemptID: a.AttemptID, Server: name, Outcome: Answered, Duration: took})
		now = now.Add(100 * time.Millisecond)
	}
	expected := func(name string) float64 { return sched.services["s"].servers[name].expectedServiceTime(now, 0.15) }
	for range 50 {
		serve("b", 100*time.Millisecond)
	}
	for range 2 {
		serve("a", 900*time.Millisecond)
	}
	is.True(expected("a") < 0.3)
	for range 40 {
		serve("a", 100*time.Millisecond)
	}
	is.True(expected("a") < 0.2)
	for range 16 {
		serve("a", 900*time.Millisecond)
	}
	is.True(expected("a") > 0.35)
}

package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against decisions that do not tell when the server was last heard, or that tell an
// earlier or a later time than that of its latest response.
func TestDecisionsTellWhenTheServerWasHeard(t *testing.T) {
	is := is.New(t)
	sched := newScheduler(false, &soleOwner{}, backend("a", "d1"))
	number := uint64(0)
	place := func() time.Time {
		number++
		sched.Submit(start, newAttempt(number, start))
		d, found := findDecision(sched.TakeDecisions(), number)
		is.True(found && d.Server == "a")
		return d.HeardAt
	}
	is.True(place().IsZero())
	for _, c := range []struct{ heard, want time.Time }{
		{start, start},
		{time.Time{}, start}, // a response that proves nothing
		{start.Add(time.Second), start.Add(time.Second)},
		{start, start.Add(time.Second)}, // a slow response
	} {
		sched.Complete(start, Completion{AttemptID: AttemptID{"i", number}, Server: "a", Outcome: Answered, Duration: time.Millisecond, HeardAt: c.heard})
		is.Equal(place(), c.want)
	}
}

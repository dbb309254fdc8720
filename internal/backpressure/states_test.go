package backpressure

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

var (
	first  = fleet.Incarnation{Name: "a", StartMS: 1}
	second = fleet.Incarnation{Name: "a", StartMS: 2}
	start  = time.Unix(1_700_000_000, 0)
)

// Guards against a server that is taken for leaving because of its earlier incarnation,
// and against one that no longer counts as leaving after a response that says nothing.
func TestLeavingIsTiedToTheIncarnation(t *testing.T) {
	is := is.New(t)
	states, changed := States{}.Observe(first, Signal{Leaving: true}, start)
	is.True(changed)
	is.True(states.Of(first).Leaving)
	is.True(!states.Of(second).Leaving)
	later, changed := states.Observe(first, Signal{}, start.Add(time.Second))
	is.True(!changed)
	is.True(later.Of(first).Leaving)
}

// Guards against an instance that forgets what it knows because another one knows less,
// and against changes to states that other goroutines read.
func TestMergeKeepsWhatIsKnown(t *testing.T) {
	is := is.New(t)
	empty := States{}
	known, changed := empty.Merge(first, State{Leaving: true}, start)
	is.True(changed)
	is.True(!empty.Of(first).Leaving)
	same, changed := known.Merge(first, State{}, start.Add(time.Second))
	is.True(!changed)
	is.True(same.Of(first).Leaving)
	_, changed = known.Merge(first, State{Leaving: true}, start.Add(time.Second))
	is.True(!changed)
}

// Guards against a pause that a later, shorter one cuts off, and against one that is
// taken over by instances that the server has not asked for it.
func TestPauseConcernsOneInstance(t *testing.T) {
	is := is.New(t)
	states, _ := States{}.Observe(first, Signal{Pause: 4 * time.Second}, start)
	states, changed := states.Observe(first, Signal{Pause: time.Second}, start.Add(time.Second))
	is.True(!changed)
	is.True(states.Of(first).Paused(start.Add(3999 * time.Millisecond)))
	is.True(!states.Of(first).Paused(start.Add(4 * time.Second)))
	is.True(states.Of(first).SameForOthers(State{}))
	for range states.ForOthers().All() {
		t.Error("a pause is sent to other instances")
	}
	other, changed := States{}.Merge(first, states.Of(first), start)
	is.True(!changed)
	is.True(!other.Of(first).Paused(start.Add(time.Second)))
}

func named(perSecond float64, sentAt time.Time) Signal {
	return Signal{Limit: Limit{Named: true, PerSecond: perSecond}, SentAt: sentAt}
}

// Guards against a limit that ends because of a response that the server made before it
// had the limit, and against one that outlasts the need of the server.
func TestLimitEndsWithAResponseToALaterRequest(t *testing.T) {
	is := is.New(t)
	states, _ := States{}.Observe(first, named(3, start), start.Add(time.Second))
	limitOf := func() Limit { return states.Of(first).Limit }
	states, _ = states.Observe(first, Signal{SentAt: start.Add(900 * time.Millisecond)}, start.Add(1100*time.Millisecond))
	is.True(limitOf().Named) // sent before the limit was learned
	states, _ = states.Observe(first, Signal{SentAt: start.Add(2 * time.Second), Unreadable: "Server-Limit: x"}, start.Add(2*time.Second))
	is.True(limitOf().Named) // it names a limit, though not a readable one
	states, changed := states.Observe(first, named(3.1, start), start.Add(3*time.Second))
	is.True(!changed) // about the same
	states, changed = states.Observe(first, named(4, start), start.Add(3*time.Second))
	is.True(changed)
	is.Equal(limitOf().PerSecond, 4.0)
	states, _ = states.Observe(first, Signal{SentAt: start.Add(3001 * time.Millisecond)}, start.Add(4*time.Second))
	is.True(!limitOf().Named)
}

// Guards against a limit that comes back because another instance has not heard of its end,
// and against an instance that keeps it because of an older one.
func TestNewestLimitWins(t *testing.T) {
	is := is.New(t)
	older := State{Limit: Limit{Named: true, PerSecond: 3}, LimitAt: start}
	ended := State{LimitAt: start.Add(time.Second)}
	states, _ := States{}.Merge(first, older, start)
	states, _ = states.Merge(first, ended, start)
	is.True(!states.Of(first).Limit.Named)
	states, changed := states.Merge(first, older, start.Add(2*time.Second))
	is.True(!changed)
	is.True(!states.Of(first).Limit.Named)
}

// Guards against a server that wants nothing and is never asked again, so that its limit
// has no end.
func TestServerThatWantsNothingIsAskedNowAndThen(t *testing.T) {
	is := is.New(t)
	rate, limited := Limit{Named: true}.Rate()
	is.True(limited)
	is.Equal(rate, minRate)
	_, limited = Limit{}.Rate()
	is.True(!limited)
}

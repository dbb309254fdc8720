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

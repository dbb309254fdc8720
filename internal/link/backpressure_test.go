package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Guards against instances that differ in what servers ask because it is lost or altered
// on its way, and against messages with everything for each change.
func TestBackpressureReachesOtherInstances(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	a, b := fleet.Incarnation{Name: "a", StartMS: 1}, fleet.Incarnation{Name: "b", StartMS: 2}
	holder, follower := facts.NewRegistry(nil, nil), facts.NewRegistry(nil, nil)
	receiver := NewFactsReceiver(follower)
	var sent SentSequences
	var base *facts.Snapshot
	sync := func() int {
		snapshot := holder.Snapshot()
		message := EncodeFacts(snapshot, sent, base, now)
		base, sent = snapshot, SentSequences{Backpressure: snapshot.BackpressureSequence}
		receiver.Apply(message, now, now)
		return len(message.Backpressure)
	}
	is.Equal(sync(), 0)
	holder.ObserveSignal(a, backpressure.Signal{Limit: backpressure.Limit{Named: true, PerSecond: 2.5}, Pause: time.Second}, now.Add(-3*time.Second))
	holder.ObserveSignal(b, backpressure.Signal{Leaving: true}, now)
	is.Equal(sync(), 2)
	state := follower.Snapshot().Backpressure.Of(a)
	is.Equal(state.Limit, backpressure.Limit{Named: true, PerSecond: 2.5})
	is.Equal(state.LimitAt, now.Add(-3*time.Second))
	is.True(!state.Paused(now.Add(-2500 * time.Millisecond))) // that concerns the holder's instance only
	is.True(follower.Snapshot().Backpressure.Of(b).Leaving)
	is.Equal(sync(), 0)
	holder.ObserveSignal(a, backpressure.Signal{SentAt: now}, now) // a response that names no limit
	is.Equal(sync(), 1)
	is.Equal(follower.Snapshot().Backpressure.Of(a).Limit, backpressure.Limit{})
}

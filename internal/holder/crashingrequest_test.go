package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/crashes"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Guards against a new holder that lets a request crash more servers although an instance
// that joins it knows what the request has done.
func TestNewHolderLearnsOfCrashesBeforeItPlacesRequests(t *testing.T) {
	is := is.New(t)
	c := newPlacingCoordinator(t)
	c.refresh(time.Now())
	v := placeWith(t, c, &linkpb.Up{Losses: []*linkpb.Loss{{Mark: 9, Id: 1, AgeUs: 5}, {Mark: 9, Id: 2, AgeUs: 5}}}, 9)
	is.Equal(placing.Reason(v.Reason), placing.ReasonCrashes)
}

// Guards against a request that crashes more servers after the loss of the holder and of the
// instances that sent it: the other instances must know of it too, also those that join later.
func TestHolderTellsAllInstancesOfCrashes(t *testing.T) {
	is := is.New(t)
	c := newPlacingCoordinator(t)
	c.refresh(time.Now())
	follow := func(name string) *crashes.Memory {
		memory := crashes.NewMemory()
		l := link.JoinLocal(c, link.Member{Instance: name}, link.NewClock(), func(down *linkpb.Down) { link.MergeLosses(memory, down.Losses, time.Now()) })
		t.Cleanup(l.Close)
		c.drainQueue()
		return memory
	}
	early := follow("early")
	for n := range uint64(2) {
		c.completeAttempt(time.Now(), placing.Completion{AttemptID: placing.AttemptID{Instance: "lost", Number: n}, Server: "a", Outcome: placing.Lost, ContentHash: 9})
	}
	c.heartbeatAt = time.Time{}
	c.publish(time.Now())
	late := follow("late")
	for name, memory := range map[string]*crashes.Memory{"early": early, "late": late} {
		for range 200 { // messages are delivered by another goroutine
			if memory.Blocks(time.Now(), 9) {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if !memory.Blocks(time.Now(), 9) {
			t.Errorf("the instance that joined %s does not know of the request", name)
		}
	}
	is.Equal(len(c.lossAnnouncer.Next(c.registry.Crashes(), time.Now(), maxAnnouncedContents)), 0)
}

package holder

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/crashes"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

// newPlacingCoordinator returns a coordinator that places requests for one server.
func newPlacingCoordinator(t *testing.T) *Coordinator {
	t.Helper()
	registry := facts.NewRegistry(func([]byte) (*fleet.Config, error) {
		return fleet.NewConfig(1, []*fleet.Service{{Name: "s"}}, nil, fleet.Limits{}), nil
	}, nil)
	now := time.Now()
	registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("c")}, now)
	registry.UpdateListing(fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "a", StartMS: 1}, Service: "s", Address: "a", Slots: 3}}}, now)
	table := owners.NewTable(owners.Record{}, "h", now)
	c := &Coordinator{
		registry: registry, queue: make(chan func(), eventQueueSize), ctx: t.Context(), table: table, records: &recordStore{},
		followers: map[*link.Follower]bool{}, byName: map[string]*link.Follower{}, quorum: quorum.NewTracker(nil),
		scheduler: placing.New(placing.RetryBudget{Window: time.Second, Ratio: 1}, table, rand.New(rand.NewPCG(1, 2))),
	}
	c.scheduler.UseCrashes(registry.Crashes())
	c.refresh(now)
	return c
}

// Guards against a new holder that lets a request crash more servers although an instance
// that joins it knows what the request has done.
func TestNewHolderLearnsOfCrashesBeforeItPlacesRequests(t *testing.T) {
	is := is.New(t)
	c := newPlacingCoordinator(t)
	verdicts := make(chan *linkpb.Verdict, 1)
	l := link.JoinLocal(c, link.Member{Instance: "i"}, func(down *linkpb.Down) {
		for _, v := range down.Verdicts {
			verdicts <- v
		}
	})
	defer l.Close()
	deadline := time.Second.Microseconds() / 2
	l.Send(&linkpb.Up{
		Losses: []*linkpb.Loss{{Mark: 9, Id: 1, AgeUs: 5}, {Mark: 9, Id: 2, AgeUs: 5}},
		Asks:   []*linkpb.Ask{{Number: 1, Service: "s", Key: placing.NoKey, TargetUs: deadline, DeadlineUs: deadline, Mark: 9}},
	})
	c.drainQueue()
	is.Equal(placing.Reason((<-verdicts).Reason), placing.ReasonCrashes)
}

// Guards against a request that crashes more servers after the loss of the holder and of the
// instances that sent it: the other instances must know of it too, also those that join later.
func TestHolderTellsAllInstancesOfCrashes(t *testing.T) {
	is := is.New(t)
	c := newPlacingCoordinator(t)
	follow := func(name string) *crashes.Memory {
		memory := crashes.NewMemory()
		l := link.JoinLocal(c, link.Member{Instance: name}, func(down *linkpb.Down) { link.MergeLosses(memory, down.Losses, time.Now()) })
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

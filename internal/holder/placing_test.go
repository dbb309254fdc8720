package holder

import (
	"math/rand/v2"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

// newPlacingCoordinator returns a coordinator that places requests for one server, once it
// has taken over the facts.
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
	return c
}

// placeWith joins an instance, which sends one attempt with the given mark in the same
// message as what it tells, and returns the decision.
func placeWith(t *testing.T, c *Coordinator, told *linkpb.Up, mark uint64) *linkpb.Verdict {
	t.Helper()
	verdicts := make(chan *linkpb.Verdict, 1)
	l := link.JoinLocal(c, link.Member{Instance: "i"}, link.NewClock(), func(down *linkpb.Down) {
		for _, v := range down.Verdicts {
			verdicts <- v
		}
	})
	defer l.Close()
	deadline := time.Second.Microseconds() / 2
	told.Asks = []*linkpb.Ask{{Number: 1, Service: "s", Key: placing.NoKey, TargetUs: deadline, DeadlineUs: deadline, Mark: mark}}
	l.Send(told)
	c.drainQueue()
	return <-verdicts
}

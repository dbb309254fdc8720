package holder

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Guards against a new holder that gives a server more than it takes, or work that it has
// asked an instance not to send, because it has not heard of that itself: an instance says
// so before its attempts are placed.
func TestNewHolderKeepsToWhatInstancesKnow(t *testing.T) {
	for _, tc := range []struct {
		name   string
		known  *linkpb.ServerState
		reason placing.Reason
	}{
		{"limit", &linkpb.ServerState{Name: "a", Born: 1, LimitKnown: true, Limited: true, LimitPerS: 1}, placing.ReasonLimit},
		{"pause", &linkpb.ServerState{Name: "a", Born: 1, PauseUs: time.Hour.Microseconds()}, placing.ReasonPaused},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			registry := facts.NewRegistry(func([]byte) (*fleet.Config, error) {
				return fleet.NewConfig(1, []*fleet.Service{{Name: "s"}}, nil, fleet.Limits{}), nil
			}, nil)
			now := time.Now()
			registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("c")}, now)
			registry.UpdateListing(fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "a", StartMS: 1}, Service: "s", Address: "a", Slots: 3}}}, now)
			table := owners.NewTable(owners.Record{}, "h", now)
			c := &Coordinator{
				registry: registry, queue: make(chan func(), eventQueueSize), ctx: t.Context(), table: table,
				followers: map[*link.Follower]bool{}, byName: map[string]*link.Follower{},
				scheduler: placing.New(placing.RetryBudget{Window: time.Second, Ratio: 1}, table, rand.New(rand.NewPCG(1, 2))),
			}
			verdicts := make(chan *linkpb.Verdict, 1)
			l := link.JoinLocal(c, link.Member{Instance: "i"}, func(down *linkpb.Down) {
				for _, v := range down.Verdicts {
					verdicts <- v
				}
			})
			defer l.Close()
			deadline := time.Second.Microseconds() / 2
			l.Send(&linkpb.Up{
				Backpressure: []*linkpb.ServerState{tc.known},
				Asks:         []*linkpb.Ask{{Number: 1, Service: "s", Key: placing.NoKey, TargetUs: deadline, DeadlineUs: deadline}},
			})
			c.drainQueue()
			v := <-verdicts
			is.Equal(v.Server, "")
			is.Equal(placing.Reason(v.Reason), tc.reason)
		})
	}
}

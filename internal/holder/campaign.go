package holder

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Elector follows the holder, or becomes it.
type Elector struct {
	self    Identity
	store   store.Store
	board   *facts.Board
	reader  *facts.Reader
	orderSender OrderSender
	prober  fleet.Prober
	client    Client
	budget  placing.Budget
	log     *events.Logger
	// firstStart is set when the whole fleet starts.
	firstStart bool
	// processorShare is the share of a processorShare that the machine gives.
	processorShare float64
	// elections counts those that this process has stood for.
	elections int64
	// coordinator is the actor while this instance is the holder.
	coordinator atomic.Pointer[Coordinator]
}

// NewElector returns a campaign for the instance.
func NewElector(o Options) *Elector {
	return &Elector{
		self: o.Self, store: o.Store, board: o.Board, reader: o.Reader, orderSender: o.OrderSender, prober: o.Prober, client: o.Client,
		budget: o.Budget, log: o.Log, firstStart: o.FirstStart, processorShare: o.ProcessorShare,
	}
}

// member is how this instance joins a holder.
func (e *Elector) member() link.Member {
	return link.Member{Instance: e.self.String(), Domain: e.self.Domain, ProcessorShare: e.processorShare}
}

// Join admits a follower while this instance is the holder.
func (e *Elector) Join(f *link.Follower) bool {
	a := e.coordinator.Load()
	return a != nil && a.Join(f)
}

// Receive takes a message of a follower.
func (e *Elector) Receive(f *link.Follower, up *linkpb.Up) {
	if a := e.coordinator.Load(); a != nil {
		a.Receive(f, up)
	}
}

// Leave forgets a follower.
func (e *Elector) Leave(f *link.Follower) {
	if a := e.coordinator.Load(); a != nil {
		a.Leave(f)
	}
}

// Run follows and leads until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	if e.firstStart {
		sleep(ctx, candidacyDelay(e.processorShare, 0, firstElectionDelay, firstElectionJitter))
	}
	for ctx.Err() == nil {
		holder, entry, err := e.readHolder(ctx)
		switch {
		case errors.Is(err, store.ErrNotFound):
			e.elect(ctx, 0, 0)
		case err != nil:
			sleep(ctx, backoff())
		case holder.sameProcess(e.self):
			// A lease that this process has lost sight of: it ends by itself.
			sleep(ctx, storeRetryDelay)
		case holder.Name == e.self.Name:
			e.elect(ctx, entry.Revision, maxInheritedGrant)
		default:
			e.follow(ctx, holder, entry.Revision)
		}
	}
}

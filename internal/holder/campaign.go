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

// Campaign follows the holder, or becomes it.
type Campaign struct {
	self    Identity
	store   store.Store
	board   *facts.Board
	reader  *facts.Reader
	granter Granter
	prober  fleet.Prober
	desk    Desk
	budget  placing.RetryBudget
	log     *events.Logger
	// first is set when the whole fleet starts.
	first bool
	// processor is the share of a processor that the machine gives.
	processor float64
	// elections counts those that this process has stood for.
	elections int64
	// tenure is the actor while this instance is the holder.
	tenure atomic.Pointer[Actor]
}

// NewCampaign returns a campaign for the instance.
func NewCampaign(o Options) *Campaign {
	return &Campaign{
		self: o.Self, store: o.Store, board: o.Board, reader: o.Reader, granter: o.Granter, prober: o.Prober, desk: o.Desk,
		budget: o.Budget, log: o.Log, first: o.First, processor: o.Processor,
	}
}

// member is how this instance joins a holder.
func (c *Campaign) member() link.Member {
	return link.Member{Instance: c.self.String(), Domain: c.self.Domain, Processor: c.processor}
}

// Join admits a follower while this instance is the holder.
func (c *Campaign) Join(f *link.Follower) bool {
	a := c.tenure.Load()
	return a != nil && a.Join(f)
}

// Receive takes a message of a follower.
func (c *Campaign) Receive(f *link.Follower, up *linkpb.Up) {
	if a := c.tenure.Load(); a != nil {
		a.Receive(f, up)
	}
}

// Leave forgets a follower.
func (c *Campaign) Leave(f *link.Follower) {
	if a := c.tenure.Load(); a != nil {
		a.Leave(f)
	}
}

// Run follows and leads until ctx ends.
func (c *Campaign) Run(ctx context.Context) {
	if c.first {
		sleep(ctx, standBack(c.processor, 0, firstDelay, firstJitter))
	}
	for ctx.Err() == nil {
		holder, entry, err := c.readHolder(ctx)
		switch {
		case errors.Is(err, store.ErrNotFound):
			c.elect(ctx, 0, 0)
		case err != nil:
			sleep(ctx, backoff())
		case holder.sameProcess(c.self):
			// A lease that this process has lost sight of: it ends by itself.
			sleep(ctx, storeRetry)
		case holder.Name == c.self.Name:
			c.elect(ctx, entry.Revision, longestForeignHold)
		default:
			c.follow(ctx, holder, entry.Revision)
		}
	}
}

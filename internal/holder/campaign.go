package holder

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
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
	desk    Desk
	budget  placing.Budget
	log     *events.Logger
	// first is set when the whole fleet starts.
	first bool
	// weakness is 1 less the machine's share of a processor.
	weakness float64
	// elections counts those that this process has stood for.
	elections int64
	// tenure is the actor while this instance is the holder.
	tenure atomic.Pointer[Actor]
}

// NewCampaign returns a campaign for the instance. first tells that the whole
// fleet starts; processorShare is the part of a processor that the machine gives.
func NewCampaign(self Identity, s store.Store, board *facts.Board, reader *facts.Reader, granter Granter, desk Desk, budget placing.Budget, first bool, processorShare float64, log *events.Logger) *Campaign {
	return &Campaign{self: self, store: s, board: board, reader: reader, granter: granter, desk: desk, budget: budget, first: first, weakness: max(0, 1-processorShare), log: log}
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
		c.standBack(ctx, firstDelay, firstJitter)
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

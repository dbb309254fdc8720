package record

import (
	"context"
	"slices"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
)

// proposeSet proposes a changed set of members to the witnesses and repeats the
// proposal after proposeRetry until a majority has acknowledged it. Only then does
// it stop the senders of the mirrors that leave.
func (c *controller) proposeSet() {
	if !c.setChanged {
		return
	}
	set := c.nextSet()
	if err := c.acknowledge(set); err != nil {
		c.retry.Reset(proposeRetry)
		return
	}
	c.setChanged = false
	c.prefilled = authority.Instance{}
	c.members = set.Members
	left := slices.Clone(c.peers)
	c.peers = slices.DeleteFunc(c.peers, func(p *peer) bool { return p.state == peerLeaving })
	c.publish()
	for _, p := range left {
		if p.state == peerLeaving {
			c.stop(p, stopRequest{})
		}
	}
	c.replicator.events.Emit(events.MirrorSetChanged, "shard", c.replicator.shard.String(), "generation", set.Generation,
		"mirrors", len(set.Members))
}

// acknowledge returns nil once the witnesses have acknowledged the set. They are not told of
// an empty one: no request is dispatched without mirrors, so that the members of the last set
// still have the records of all that were, and the next holder finds them.
func (c *controller) acknowledge(set authority.MirrorSet) error {
	if len(set.Members) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	return c.replicator.sets.Propose(ctx, set)
}

func (c *controller) nextSet() authority.MirrorSet {
	c.generation = max(c.generation, c.replicator.sets.Mirrors().Generation) + 1
	set := authority.MirrorSet{Generation: c.generation}
	for _, p := range c.peers {
		if p.state == peerMember {
			p.proposed = true
			set.Members = append(set.Members, p.sender.to)
		}
	}
	return set
}

package record

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

func (c *control) isDeposed() bool {
	return c.deposedBy != (authority.Token{})
}

// raised lets a holder go on that was refused because of its own next token: a
// witness accepts that token before the holder has adopted it. The mirrors join
// anew, and no request is dispatched before a set of them is acknowledged.
func (c *control) raised() {
	if !c.isDeposed() || c.r.token.Load().Less(c.deposedBy) {
		return
	}
	c.deposedBy = authority.Token{}
	c.members, c.complete, c.dirty = nil, authority.Instance{}, false
	clear(c.avoided)
	c.publish()
}

// refuseAll fails everything that is pending and every later request. With flush
// the mirrors still get the records that are pending.
func (c *control) refuseAll(err error, flush bool) {
	c.r.replaceTargets(&targets{err: err})
	for _, p := range c.peers {
		c.stop(p, stopOrder{err: err, flush: flush})
		p.state = peerLeaving
	}
	c.peers = nil
}

func stoppedProblem(r *replicator) error {
	return problem.New(problem.KindNotHolder, outcome.StageForwardUnsent,
		"this instance does not hold shard %s any more", r.shard)
}

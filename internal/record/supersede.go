package record

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

func (c *controller) isSuperseded() bool {
	return c.supersededBy != (authority.Token{})
}

// resumeAfterTokenRaise lets a holder go on that was refused because of its own next token: a
// witness accepts that token before the holder has adopted it. The mirrors join
// anew, and no request is dispatched before a set of them is acknowledged.
func (c *controller) resumeAfterTokenRaise() {
	if !c.isSuperseded() || c.replicator.token.Load().Less(c.supersededBy) {
		return
	}
	c.supersededBy = authority.Token{}
	c.members, c.prefilled, c.setChanged = nil, authority.Instance{}, false
	clear(c.failedRecently)
	c.publish()
}

// refuseAll fails everything that is pending and every later request. With flush
// the mirrors still get the records that are pending.
func (c *controller) refuseAll(err error, flush bool) {
	c.replicator.replaceTargets(&copyTargets{err: err})
	for _, p := range c.peers {
		c.stop(p, stopRequest{err: err, flush: flush})
		p.state = peerLeaving
	}
	c.peers = nil
}

func stoppedProblem(r *replicator) error {
	return problem.New(problem.KindNotHolder, outcome.StageForwardUnsent,
		"this instance does not hold shard %s any more", r.shard)
}

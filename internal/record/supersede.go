package record

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

func (c *controller) isSuperseded() bool {
	return c.supersededBy != (authority.Token{})
}

// resumeAfterTokenRaise resumes a holder that a mirror refused because of the holder's
// own next token: a witness accepts that token before the holder has adopted it. The
// mirrors join anew, and no request is dispatched before a set of them is acknowledged.
func (c *controller) resumeAfterTokenRaise() {
	if !c.isSuperseded() || c.replicator.token.Load().Less(c.supersededBy) {
		return
	}
	c.supersededBy = authority.Token{}
	c.members, c.prefilled, c.setChanged = nil, authority.Instance{}, false
	clear(c.failedRecently)
	c.publish()
}

// refuseAll fails all pending copies and every later request with err. With flush the
// pending records are still sent to the mirrors.
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

package record

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

const (
	// targetMirrorCount is the intended number of mirrors. The order of the candidates
	// puts them into two other failure domains if possible.
	targetMirrorCount = 2
	// mirrorRetry is the delay before a mirror that failed is probed again.
	mirrorRetry = time.Second
	// noMirrorRetry is the same delay when no mirror is left: every request waits for
	// one, so several attempts must fit into mirrorWait.
	noMirrorRetry = 100 * time.Millisecond
	// mirrorWait is how long a request waits at most while the mirror set is empty.
	mirrorWait = time.Second
	// maxWaitFraction is the part of its remaining time that a request may wait for a
	// mirror; the rest lets the refusal reach the caller before the deadline.
	maxWaitFraction = 0.9
	// proposeTimeout bounds one proposal of a mirror set to the witnesses.
	proposeTimeout = 500 * time.Millisecond
	// proposeRetry is the delay after a proposal that a majority did not acknowledge.
	proposeRetry = 50 * time.Millisecond
)

// controller manages the mirror set of one replicator: it probes candidates, adds and
// removes mirrors, and has each set acknowledged by the witnesses. One goroutine owns it.
type controller struct {
	replicator *replicator
	candidates []authority.Instance
	peers      []*peer
	members    []authority.Instance
	generation uint64
	// setChanged reports that the members differ from the set acknowledged last.
	setChanged bool
	// failedRecently holds candidates that are not probed before the retry timer fires.
	failedRecently map[authority.Instance]bool
	retry          *time.Timer
	// supersededBy is a token above this holder's that a mirror has accepted, or zero.
	supersededBy authority.Token
	// takingOver is set until the records of the previous holder have been taken over or
	// given up. Until then no mirror joins.
	takingOver bool
	// prefilled is the mirror that the records were fetched from. No request is
	// dispatched before the first set is acknowledged, so until then this mirror has
	// all records and joins without a backfill, which shortens a takeover.
	prefilled authority.Instance
}

func newController(r *replicator) *controller {
	retry := time.NewTimer(time.Hour)
	retry.Stop()
	return &controller{replicator: r, failedRecently: map[authority.Instance]bool{}, retry: retry, takingOver: true}
}

func (c *controller) run() {
	defer c.retry.Stop()
	for {
		select {
		case task := <-c.replicator.tasks:
			task(c)
		case <-c.retry.C:
			clear(c.failedRecently)
		case <-c.replicator.closed:
			c.refuseAll(stoppedProblem(c.replicator), true)
			return
		}
		if !c.isSuperseded() && !c.takingOver {
			c.plan()
			c.proposeSet()
		}
	}
}

// endTakeover lets the mirrors join, first the one that the records were fetched from, if any.
func (c *controller) endTakeover(source authority.Instance) {
	c.takingOver = false
	c.prefilled = source
	if at := slices.Index(c.candidates, source); at > 0 {
		c.candidates = slices.Insert(slices.Delete(slices.Clone(c.candidates), at, at+1), 0, source)
	}
}

// plan probes candidates while there are fewer mirrors than intended. A member that
// is no longer a candidate is removed once enough candidates are members.
func (c *controller) plan() {
	active, members := 0, 0
	for _, p := range c.peers {
		if p.state == peerLeaving || !slices.Contains(c.candidates, p.sender.to) {
			continue
		}
		active++
		if p.state == peerMember {
			members++
		}
	}
	for _, candidate := range c.candidates {
		if active < targetMirrorCount && c.mayProbe(candidate) {
			c.probe(candidate)
			active++
		}
	}
	if members >= min(targetMirrorCount, len(c.candidates)) && members > 0 {
		c.removeNonCandidates()
	}
}

func (c *controller) mayProbe(candidate authority.Instance) bool {
	known := slices.ContainsFunc(c.peers, func(p *peer) bool { return p.sender.to == candidate })
	return !known && !c.failedRecently[candidate] && candidate != c.replicator.self
}

func (c *controller) removeNonCandidates() {
	for _, p := range c.peers {
		if p.state == peerMember && !slices.Contains(c.candidates, p.sender.to) {
			p.state = peerLeaving
			c.setChanged = true
		}
	}
}

// probe sends an empty batch to a candidate before requests wait for its
// acknowledgements, so that none waits for an instance that does not respond.
func (c *controller) probe(candidate authority.Instance) {
	p := &peer{sender: newSender(candidate)}
	p.sender.copy = c.replicator.copyTo
	p.sender.onFailure = func(_ *sender, err error) {
		go c.replicator.post(func(c *controller) { c.onMirrorFailed(p, err) })
	}
	c.peers = append(c.peers, p)
	c.replicator.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), mirrorTimeout)
		defer cancel()
		err := c.replicator.copyTo(ctx, candidate, nil)
		c.replicator.post(func(c *controller) { c.onProbeDone(p, err) })
	})
}

// onProbeDone starts the sender of a peer that has responded, so that it gets all new
// records, and then the backfill of the earlier ones.
func (c *controller) onProbeDone(p *peer, err error) {
	if p.state != peerProbing {
		return
	}
	if err != nil {
		c.onMirrorFailed(p, err)
		return
	}
	p.state = peerJoining
	c.replicator.running.Go(p.sender.run)
	c.publish()
	if p.sender.to == c.prefilled {
		c.onBackfillDone(p, nil)
		return
	}
	c.replicator.running.Go(func() {
		err := c.replicator.backfill(p.sender.to)
		c.replicator.post(func(c *controller) { c.onBackfillDone(p, err) })
	})
}

func (c *controller) onBackfillDone(p *peer, err error) {
	if p.state != peerJoining {
		return
	}
	if err != nil {
		c.onMirrorFailed(p, err)
		return
	}
	p.state = peerMember
	c.setChanged = true
}

// onMirrorFailed removes a peer. If no witness can know a set that includes it, it is
// removed at once. Otherwise requests wait for it until the witnesses have
// acknowledged a set without it.
func (c *controller) onMirrorFailed(p *peer, err error) {
	if p.state == peerLeaving {
		return
	}
	var higher *higherTokenError
	if errors.As(err, &higher) {
		c.supersededBy = higher.highest
		c.refuseAll(problem.Wrap(err, problem.KindNotHolder, outcome.StageForwardUnsent,
			"shard %s has a new holder", c.replicator.shard), false)
		c.resumeAfterTokenRaise() // the token may have been raised while the copy was in flight
		return
	}
	if c.retryLastMember(p, err) {
		return
	}
	if p.sender.to == c.prefilled {
		c.prefilled = authority.Instance{}
	}
	c.failedRecently[p.sender.to] = true
	if p.proposed {
		p.state = peerLeaving
		c.setChanged = true
		c.scheduleRetry()
		return
	}
	c.remove(p)
	c.publish()
	c.stop(p, stopRequest{})
	p.state = peerLeaving
	c.scheduleRetry()
}

// scheduleRetry sets the timer after which candidates that failed are probed again.
func (c *controller) scheduleRetry() {
	for _, p := range c.peers {
		if p.state != peerLeaving {
			c.retry.Reset(mirrorRetry)
			return
		}
	}
	c.retry.Reset(noMirrorRetry)
}

// retryLastMember repeats the message to the last member of the set with a longer
// timeout if that member was only slow, and reports whether it did. Without members no
// request can be dispatched until another mirror joins.
func (c *controller) retryLastMember(p *peer, err error) bool {
	if p.state != peerMember || !errors.Is(err, errMirrorSlow) {
		return false
	}
	for _, other := range c.peers {
		if other != p && other.state == peerMember {
			return false
		}
	}
	return p.sender.retryOnce()
}

func (c *controller) remove(p *peer) {
	c.peers = slices.DeleteFunc(c.peers, func(other *peer) bool { return other == p })
}

func (c *controller) stop(p *peer, request stopRequest) {
	if p.state != peerProbing {
		p.sender.stop <- request
	}
}

// publish replaces the targets: requests send their records to every peer that has
// responded to its probe.
func (c *controller) publish() {
	next := &copyTargets{members: c.members}
	for _, p := range c.peers {
		if p.state != peerProbing {
			next.senders = append(next.senders, p.sender)
		}
	}
	c.replicator.replaceTargets(next)
}

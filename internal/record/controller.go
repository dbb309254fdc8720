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
	// targetMirrorCount is the number of mirrors a holder strives for, in two other failure domains.
	targetMirrorCount = 2
	// mirrorRetry is the pause before a mirror that failed is tried again.
	mirrorRetry = time.Second
	// noMirrorRetry is the same when no mirror is left: every request waits for one,
	// so several tries must fit into mirrorWait.
	noMirrorRetry = 100 * time.Millisecond
	// mirrorWait is how long a request waits while no mirror holds the records.
	mirrorWait = time.Second
	// maxWaitFraction this part of its time a request that waits for a mirror is refused,
	// so that the refusal reaches its caller.
	maxWaitFraction = 0.9
	// proposeTimeout bounds one proposal to the witnesses.
	proposeTimeout = 500 * time.Millisecond
	// proposeRetry is the pause after a proposal that was not acknowledged by a majority.
	proposeRetry = 50 * time.Millisecond
)

// controller is the goroutine that owns the peers of one replicator.
type controller struct {
	replicator *replicator
	candidates []authority.Instance
	peers      []*peer
	members    []authority.Instance
	generation uint64
	// setChanged reports that the set differs from the one acknowledged last.
	setChanged bool
	// failedRecently holds candidates that failed recently.
	failedRecently map[authority.Instance]bool
	retry          *time.Timer
	// supersededBy is the token that a mirror has accepted above this holder's, or zero.
	supersededBy authority.Token
	// prefilled is the mirror that the records were fetched from. It holds all of
	// them until the first set is acknowledged, from when on requests are
	// dispatched; until then it joins without a backfill, which shortens a takeover.
	prefilled authority.Instance
}

func newController(r *replicator) *controller {
	retry := time.NewTimer(time.Hour)
	retry.Stop()
	return &controller{replicator: r, failedRecently: map[authority.Instance]bool{}, retry: retry, prefilled: r.source}
}

func (c *controller) run() {
	defer c.retry.Stop()
	for {
		select {
		case event := <-c.replicator.tasks:
			event(c)
		case <-c.retry.C:
			clear(c.failedRecently)
		case <-c.replicator.closed:
			c.refuseAll(stoppedProblem(c.replicator), true)
			return
		}
		if !c.isSuperseded() {
			c.plan()
			c.proposeSet()
		}
	}
}

// plan starts to probe candidates while mirrors are missing, and lets a member
// that is no candidate any more leave once it is replaced.
func (c *controller) plan() {
	wanted, full := 0, 0
	for _, p := range c.peers {
		if p.state == peerLeaving || !slices.Contains(c.candidates, p.sender.to) {
			continue
		}
		wanted++
		if p.state == peerMember {
			full++
		}
	}
	for _, candidate := range c.candidates {
		if wanted < targetMirrorCount && c.mayProbe(candidate) {
			c.probe(candidate)
			wanted++
		}
	}
	if full >= min(targetMirrorCount, len(c.candidates)) && full > 0 {
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

// probe asks a candidate with an empty batch, so that no request waits for an
// instance that does not respond.
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

// onProbeDone makes requests wait for the peer from now on and starts its backfill.
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

// onMirrorFailed takes a peer out. One that no witness may know as a member leaves at
// once; for any other, requests wait until a set without it is acknowledged.
func (c *controller) onMirrorFailed(p *peer, err error) {
	if p.state == peerLeaving {
		return
	}
	var deposed *higherTokenError
	if errors.As(err, &deposed) {
		c.supersededBy = deposed.highest
		c.refuseAll(problem.Wrap(err, problem.KindNotHolder, outcome.StageForwardUnsent,
			"shard %s has a new holder", c.replicator.shard), false)
		c.resumeAfterTokenRaise() // the token may have been raised while the copy was on its way
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

// scheduleRetry sets when candidates that failed are tried again.
func (c *controller) scheduleRetry() {
	for _, p := range c.peers {
		if p.state != peerLeaving {
			c.retry.Reset(mirrorRetry)
			return
		}
	}
	c.retry.Reset(noMirrorRetry)
}

// retryLastMember lets the last member of the set try again with more time when it was only
// slow: a set without members refuses every request.
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

func (c *controller) stop(p *peer, order stopRequest) {
	if p.state != peerProbing {
		p.sender.stop <- order
	}
}

// publish makes requests wait for every peer that is or may become a member.
func (c *controller) publish() {
	next := &copyTargets{members: c.members}
	for _, p := range c.peers {
		if p.state != peerProbing {
			next.senders = append(next.senders, p.sender)
		}
	}
	c.replicator.replaceTargets(next)
}

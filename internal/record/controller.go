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
	// mirrorCount is the number of mirrors a holder strives for, in two other failure domains.
	mirrorCount = 2
	// mirrorRetry is the pause before a mirror that failed is tried again.
	mirrorRetry = time.Second
	// lastMirrorRetry is the same when no mirror is left: every request waits for one,
	// so several tries must fit into mirrorWait.
	lastMirrorRetry = 100 * time.Millisecond
	// mirrorWait is how long a request waits while no mirror holds the records.
	mirrorWait = time.Second
	// refuseAfter this part of its time a request that waits for a mirror is refused,
	// so that the refusal reaches its caller.
	refuseAfter = 0.9
	// proposeTimeout bounds one proposal to the witnesses.
	proposeTimeout = 500 * time.Millisecond
	// proposeRetry is the pause after a proposal that was not acknowledged by a majority.
	proposeRetry = 50 * time.Millisecond
)

// control is the goroutine that owns the peers of one replicator.
type control struct {
	r          *replicator
	candidates []authority.Instance
	peers      []*peer
	members    []authority.Instance
	generation uint64
	// dirty reports that the set differs from the one acknowledged last.
	dirty bool
	// avoided holds candidates that failed recently.
	avoided map[authority.Instance]bool
	retry   *time.Timer
	// deposedBy is the token that a mirror has accepted above this holder's, or zero.
	deposedBy authority.Token
	// complete is the mirror that the records were fetched from. It holds all of
	// them until the first set is acknowledged, from when on requests are
	// dispatched; until then it joins without a backfill, which shortens a takeover.
	complete authority.Instance
}

func newControl(r *replicator) *control {
	retry := time.NewTimer(time.Hour)
	retry.Stop()
	return &control{r: r, avoided: map[authority.Instance]bool{}, retry: retry, complete: r.source}
}

func (c *control) run() {
	defer c.retry.Stop()
	for {
		select {
		case event := <-c.r.inbox:
			event(c)
		case <-c.retry.C:
			clear(c.avoided)
		case <-c.r.closed:
			c.refuseAll(stoppedProblem(c.r), true)
			return
		}
		if !c.isDeposed() {
			c.plan()
			c.commit()
		}
	}
}

// plan starts to probe candidates while mirrors are missing, and lets a member
// that is no candidate any more leave once it is replaced.
func (c *control) plan() {
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
		if wanted < mirrorCount && c.isNew(candidate) {
			c.probe(candidate)
			wanted++
		}
	}
	if full >= min(mirrorCount, len(c.candidates)) && full > 0 {
		c.retire()
	}
}

func (c *control) isNew(candidate authority.Instance) bool {
	known := slices.ContainsFunc(c.peers, func(p *peer) bool { return p.sender.to == candidate })
	return !known && !c.avoided[candidate] && candidate != c.r.self
}

func (c *control) retire() {
	for _, p := range c.peers {
		if p.state == peerMember && !slices.Contains(c.candidates, p.sender.to) {
			p.state = peerLeaving
			c.dirty = true
		}
	}
}

// probe asks a candidate with an empty batch, so that no request waits for an
// instance that does not respond.
func (c *control) probe(candidate authority.Instance) {
	p := &peer{sender: newSender(candidate)}
	p.sender.copy = c.r.copyTo
	p.sender.failed = func(_ *sender, err error) {
		go c.r.post(func(c *control) { c.lost(p, err) })
	}
	c.peers = append(c.peers, p)
	c.r.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), mirrorTimeout)
		defer cancel()
		err := c.r.copyTo(ctx, candidate, nil)
		c.r.post(func(c *control) { c.probed(p, err) })
	})
}

// probed makes requests wait for the peer from now on and starts its backfill.
func (c *control) probed(p *peer, err error) {
	if p.state != peerProbing {
		return
	}
	if err != nil {
		c.lost(p, err)
		return
	}
	p.state = peerJoining
	c.r.running.Go(p.sender.run)
	c.publish()
	if p.sender.to == c.complete {
		c.backfilled(p, nil)
		return
	}
	c.r.running.Go(func() {
		err := c.r.backfill(p.sender.to)
		c.r.post(func(c *control) { c.backfilled(p, err) })
	})
}

func (c *control) backfilled(p *peer, err error) {
	if p.state != peerJoining {
		return
	}
	if err != nil {
		c.lost(p, err)
		return
	}
	p.state = peerMember
	c.dirty = true
}

// lost takes a peer out. One that no witness may know as a member leaves at
// once; for any other, requests wait until a set without it is acknowledged.
func (c *control) lost(p *peer, err error) {
	if p.state == peerLeaving {
		return
	}
	var deposed *deposedError
	if errors.As(err, &deposed) {
		c.deposedBy = deposed.highest
		c.refuseAll(problem.Wrap(err, problem.KindNotHolder, outcome.StageForwardUnsent,
			"shard %s has a new holder", c.r.shard), false)
		c.raised() // the token may have been raised while the copy was on its way
		return
	}
	if c.spare(p, err) {
		return
	}
	if p.sender.to == c.complete {
		c.complete = authority.Instance{}
	}
	c.avoided[p.sender.to] = true
	if p.proposed {
		p.state = peerLeaving
		c.dirty = true
		c.tryLater()
		return
	}
	c.remove(p)
	c.publish()
	c.stop(p, stopOrder{})
	p.state = peerLeaving
	c.tryLater()
}

// tryLater sets when candidates that failed are tried again.
func (c *control) tryLater() {
	for _, p := range c.peers {
		if p.state != peerLeaving {
			c.retry.Reset(mirrorRetry)
			return
		}
	}
	c.retry.Reset(lastMirrorRetry)
}

// spare lets the last member of the set try again with more time when it was only
// slow: a set without members refuses every request.
func (c *control) spare(p *peer, err error) bool {
	if p.state != peerMember || !errors.Is(err, errMirrorSlow) {
		return false
	}
	for _, other := range c.peers {
		if other != p && other.state == peerMember {
			return false
		}
	}
	return p.sender.tryAgain()
}

func (c *control) remove(p *peer) {
	c.peers = slices.DeleteFunc(c.peers, func(other *peer) bool { return other == p })
}

func (c *control) stop(p *peer, order stopOrder) {
	if p.state != peerProbing {
		p.sender.stop <- order
	}
}

// publish makes requests wait for every peer that is or may become a member.
func (c *control) publish() {
	next := &targets{members: c.members}
	for _, p := range c.peers {
		if p.state != peerProbing {
			next.senders = append(next.senders, p.sender)
		}
	}
	c.r.replaceTargets(next)
}

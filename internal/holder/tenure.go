package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/boottime"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

// confirmElection takes the lease for confirmed at the start of the election, unless the claim
// took so long that it may have replaced that of a successor. Then a renewal has to show it.
func (c *Coordinator) confirmElection(startedAt, claimedAt time.Time) {
	c.lastConfirmedAt.Store(&startedAt)
	if claimedAt.Sub(startedAt) < leaseTTL {
		c.leaseConfirmedAt.Store(&startedAt)
	}
}

// lastLeaseConfirmation returns when the lease was last known to be held by this process,
// or the zero time if that must be confirmed again.
func (c *Coordinator) lastLeaseConfirmation() time.Time {
	if at := c.leaseConfirmedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// share returns the share of limits that hold for the whole fleet which this holder may
// use. While another holder may act, it is the share of the fleet that follows this one,
// since each instance follows one holder at a time.
func (c *Coordinator) share(now time.Time) float64 {
	leaseConfirmedAt := c.leaseConfirmedAt.Load()
	ownShare := 1 / float64(len(c.quorum.Stored())+1) // of its own instance, which follows no other holder
	if leaseConfirmedAt == nil || c.superseded.Load() {
		return ownShare
	}
	followers := float64(len(c.followers))
	switch {
	case now.Sub(*leaseConfirmedAt) >= leaseTTL:
		return max(ownShare, c.retainedShare(now, *leaseConfirmedAt))
	case c.predecessorsEnded(now):
		return 1
	case len(c.foundFleet) == 0:
		return max(ownShare, followers/(followers+1))
	}
	return max(ownShare, quorum.JoinedShare(c.foundFleet, c.settledNames(now)))
}

// retainedShare returns the share of the fleet that provably follows this holder and no
// successor.
func (c *Coordinator) retainedShare(now, leaseConfirmedAt time.Time) float64 {
	return c.quorum.RetainedShare(now, leaseConfirmedAt, c.quorumFollowers())
}

// quorumFollowers returns the followers as the quorum counts them.
func (c *Coordinator) quorumFollowers() []quorum.Follower {
	followers := make([]quorum.Follower, 0, len(c.followers))
	for f := range c.followers {
		followers = append(followers, quorum.Follower{
			Name: f.Name(), JoinedAt: f.JoinedAt, ProvedAt: f.ProvedAt, Local: f.Instance == c.instance,
		})
	}
	return followers
}

// followerNames returns the names of the instances that follow this holder.
func (c *Coordinator) followerNames() map[string]bool {
	names := map[string]bool{}
	for f := range c.followers {
		names[f.Name()] = true
	}
	return names
}

// maySendOrders reports whether this instance may still act as the holder. It also
// sets the duration of new grants, which is longer during a store outage.
func (c *Coordinator) maySendOrders(now time.Time) bool {
	allowed := c.decideOrders(now)
	c.sendsOrders.Store(allowed)
	return allowed
}

func (c *Coordinator) decideOrders(now time.Time) bool {
	c.mayActAt = boottime.Now()
	if c.suspension.noticed() {
		c.log.Emit(events.MachineSuspended, "epoch", c.epoch)
		c.leaseConfirmedAt.Store(nil)
		c.registry.ForgetRead()
		c.abortOrders()
	}
	leaseConfirmedAt := c.leaseConfirmedAt.Load()
	if leaseConfirmedAt == nil || c.superseded.Load() {
		return false
	}
	c.shortenInheritedGrants(now)
	outage := now.Sub(*leaseConfirmedAt)
	if outage <= followerQuorumAfter {
		c.ordersAllowed = true
		c.quorumLog = quorumLog{}
		c.table.SetGrantDuration(owners.GrantDuration)
		return true
	}
	// The store may be unreachable for all instances or only for this one. In the
	// second case the followers leave for a successor.
	c.table.SetGrantDuration(outageGrantDuration)
	share := c.retainedShare(now, *leaseConfirmedAt)
	retained := outage <= maxStoreOutage && quorum.Retained(share)
	c.logQuorum(now, *leaseConfirmedAt, share, retained)
	if c.ordersAllowed != retained {
		c.ordersAllowed = retained
		c.log.Emit(events.HolderQuorumChanged, "epoch", c.epoch, "sends_orders", retained, "share", share, "fleet", len(c.quorum.Stored()),
			"followers", len(c.followers), "outage_ms", outage.Milliseconds())
	}
	return retained
}

// askForProofs asks the followers to prove that they follow this holder, once it may need
// their proofs.
func (c *Coordinator) askForProofs(now time.Time) {
	if at := c.leaseConfirmedAt.Load(); at == nil || now.Sub(*at) < proofsAfter {
		return
	}
	proof := uint64(now.Sub(c.startedAt).Microseconds())
	for f := range c.followers {
		f.Send(&linkpb.Down{Proof: proof})
	}
}

// forgetStays forgets the stays of instances that have left, while the lease is confirmed:
// if they are back before it is confirmed next, it does not matter since when.
func (c *Coordinator) forgetStays(now time.Time) {
	if at := c.leaseConfirmedAt.Load(); at != nil && now.Sub(*at) < proofsAfter {
		c.stays.forgetOthers(c.followers)
	}
}

// recordProof records that a follower has returned a proof.
func (c *Coordinator) recordProof(f *link.Follower, proof uint64, now time.Time) {
	sentAt := c.startedAt.Add(time.Duration(proof) * time.Microsecond)
	if proof != 0 && sentAt.After(f.ProvedAt) && !sentAt.After(now) {
		f.ProvedAt = sentAt
	}
}

// considerYield plans to end the tenure when there is a follower on a much stronger machine
// and the lease has been confirmed recently, so that the follower is likely to reach
// the store as well. The tenure ends once the record says so, as that may take long on
// an overloaded machine.
func (c *Coordinator) considerYield(now time.Time) {
	leaseConfirmedAt, strongest := c.leaseConfirmedAt.Load(), c.maxRunningShare()
	c.yieldPlanned = !now.Before(c.yieldAllowedAt) && strongest > 0 && strongest >= yieldShareRatio*c.processorShare &&
		leaseConfirmedAt != nil && now.Sub(*leaseConfirmedAt) < leaseTTL
}

// considerHandOver ends the tenure of an instance that ends within seconds, if one that
// is not stopping, on a machine that is not much weaker, can become the holder. In a
// rolling restart such an instance may come back within moments.
func (c *Coordinator) considerHandOver() {
	if c.plannedStop.isEnding() && c.hasRunningFollower() && yieldShareRatio*c.maxRunningShare() >= c.processorShare {
		c.noteEnd(endHandedOver)
		c.endTenure()
	}
}

// fleetToRecord returns the fleet to store in the record. While holders before this one may
// act, it is the one that was found: they need a share of that one.
func (c *Coordinator) fleetToRecord(now time.Time) quorum.Fleet {
	if c.table.InheritedGrantsEnded(now) {
		return quorum.NewFleet(c.followerNames())
	}
	return c.foundFleet
}

// fleetRecordDue reports whether the record must be written because its fleet has been
// another one for a while.
func (c *Coordinator) fleetRecordDue(now time.Time) bool {
	if c.fleetToRecord(now).Equal(c.quorum.Stored()) {
		c.fleetChangedAt = time.Time{}
		return false
	}
	if c.fleetChangedAt.IsZero() {
		c.fleetChangedAt = now
	}
	return now.Sub(c.fleetChangedAt) >= fleetRecordDelay
}

// shortenInheritedGrants shortens the wait for grants of earlier holders once so much of
// the fleet follows this instance that they cannot go on.
func (c *Coordinator) shortenInheritedGrants(now time.Time) {
	if c.inheritedGrantsShortened || c.table.InheritedGrantsEnded(now) || !quorum.ExcludesPredecessors(c.foundFleet, c.followerNames()) {
		return
	}
	c.inheritedGrantsShortened = true
	c.log.Emit(events.EarlierGrantsEndSoon, "epoch", c.epoch, "followers", len(c.followers), "fleet", len(c.foundFleet), "ends_in_ms", inheritedGrantsTimeout.Milliseconds(),
		"counted", loggedNames(c.followerNames()))
	c.table.ShortenInheritedGrants(now.Add(inheritedGrantsTimeout))
}

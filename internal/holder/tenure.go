package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/owners"
)

// exclusive reports whether this is the only holder with followers: either no
// successor can have been elected yet, or none of the followers has left for one.
func (c *Coordinator) exclusive(now time.Time) bool {
	leaseConfirmedAt := c.leaseConfirmedAt.Load()
	if leaseConfirmedAt == nil || c.superseded.Load() {
		return false
	}
	return now.Sub(*leaseConfirmedAt) < leaseTTL || len(c.followers) >= c.usualFollowers
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
// use: all of it while it is the only holder, and otherwise the share of the fleet that
// follows it, since each instance follows one holder at a time.
func (c *Coordinator) share(now time.Time) float64 {
	if c.exclusive(now) {
		return 1
	}
	followers := max(1, len(c.followers))
	return float64(followers) / float64(max(followers+1, c.usualFollowers, c.previousFleetSize))
}

// maySendOrders reports whether this instance may still act as the holder. It also
// sets the duration of new grants, which is longer during a store outage.
func (c *Coordinator) maySendOrders(now time.Time) bool {
	leaseConfirmedAt := c.leaseConfirmedAt.Load()
	if leaseConfirmedAt == nil || c.superseded.Load() {
		return false
	}
	c.shortenInheritedGrants(now)
	outage := now.Sub(*leaseConfirmedAt)
	if outage <= followerQuorumAfter {
		c.usualFollowers = len(c.followers)
		c.table.SetGrantDuration(owners.GrantDuration)
		return true
	}
	// The store may be unreachable for all instances or only for this one. In the
	// second case the followers leave for a successor.
	c.table.SetGrantDuration(outageGrantDuration)
	return outage <= maxStoreOutage && float64(len(c.followers)) >= retainedFollowerShare*float64(c.usualFollowers)
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
		c.endTenure()
	}
}

// fleetSize returns the number of instances to store in the record. While grants of
// earlier holders may be valid, instances that have not joined yet may still follow
// an earlier holder. If only those that have joined were counted, a successor would
// take these few for most of the fleet.
func (c *Coordinator) fleetSize(now time.Time) int {
	if c.table.InheritedGrantsEnded(now) {
		return len(c.followers)
	}
	return max(len(c.followers), c.previousFleetSize)
}

// shortenInheritedGrants shortens the wait for grants of earlier holders once enough
// of the fleet follows this instance.
func (c *Coordinator) shortenInheritedGrants(now time.Time) {
	if c.expectedFollowers > 0 && float64(len(c.followers)) >= joinedFollowerShare*float64(c.expectedFollowers) {
		c.expectedFollowers = 0
		c.table.ShortenInheritedGrants(now.Add(inheritedGrantsTimeout))
	}
}

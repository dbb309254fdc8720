package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/owners"
)

// exclusive reports whether no successor can have been elected, or none has any followers.
func (c *Coordinator) exclusive(now time.Time) bool {
	contact := c.leaseConfirmedAt.Load()
	if contact == nil || c.deposed.Load() {
		return false
	}
	return now.Sub(*contact) < leaseTTL || len(c.followers) >= c.usualFollowers
}

// maySendOrders reports whether this instance may still be the holder.
func (c *Coordinator) maySendOrders(now time.Time) bool {
	contact := c.leaseConfirmedAt.Load()
	if contact == nil || c.deposed.Load() {
		return false
	}
	c.shortenInheritedGrants(now)
	silent := now.Sub(*contact)
	if silent <= followerQuorumAfter {
		c.usualFollowers = len(c.followers)
		c.table.SetHold(owners.HoldFor)
		return true
	}
	// The store may be away for all, or only for this instance; in the second case
	// the followers leave for a successor.
	c.table.SetHold(outageGrantDuration)
	return silent <= maxStoreOutage && float64(len(c.followers)) >= retainedFollowerShare*float64(c.usualFollowers)
}

// considerYield ends the tenure when a much stronger machine follows and can reach the
// store as well as this one.
func (c *Coordinator) considerYield(now time.Time) {
	if now.Before(c.yieldAllowedAt) || c.maxProcessorShare() < yieldShareRatio*c.processorShare {
		return
	}
	if contact := c.leaseConfirmedAt.Load(); contact != nil && now.Sub(*contact) < leaseTTL {
		c.yielding.Store(true)
	}
}

// fleetSize returns the size of the fleet for the record. While earlier holders may
// still grant, those that have not joined yet may follow one of them: a successor
// that counted only the first to join would take them for most of the fleet.
func (c *Coordinator) fleetSize(now time.Time) int {
	if c.table.Settled(now) {
		return len(c.followers)
	}
	return max(len(c.followers), c.previousFleetSize)
}

// shortenInheritedGrants ends the wait for grants of earlier holders once most instances follow this one.
func (c *Coordinator) shortenInheritedGrants(now time.Time) {
	if c.expectedFollowers > 0 && float64(len(c.followers)) >= joinedFollowerShare*float64(c.expectedFollowers) {
		c.expectedFollowers = 0
		c.table.EndForeign(now.Add(inheritedGrantsTimeout))
	}
}

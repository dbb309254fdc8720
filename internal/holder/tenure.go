package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/owners"
)

// sole reports whether no successor can have been elected, or none has any followers.
func (a *Actor) sole(now time.Time) bool {
	contact := a.contact.Load()
	if contact == nil || a.deposed.Load() {
		return false
	}
	return now.Sub(*contact) < leaseTTL || len(a.followers) >= a.usual
}

// mayOrder reports whether this instance may still be the holder.
func (a *Actor) mayOrder(now time.Time) bool {
	contact := a.contact.Load()
	if contact == nil || a.deposed.Load() {
		return false
	}
	a.shortenForeign(now)
	silent := now.Sub(*contact)
	if silent <= followerQuorumAfter {
		a.usual = len(a.followers)
		a.table.SetHold(owners.HoldFor)
		return true
	}
	// The store may be away for all, or only for this instance; in the second case
	// the followers leave for a successor.
	a.table.SetHold(outageGrantDuration)
	return silent <= maxStoreOutage && float64(len(a.followers)) >= retainedFollowerShare*float64(a.usual)
}

// yield ends the tenure when a much stronger machine follows and can reach the
// store as well as this one.
func (a *Actor) yield(now time.Time) {
	if now.Before(a.yieldsFrom) || a.strongest() < yieldShareRatio*a.processor {
		return
	}
	if contact := a.contact.Load(); contact != nil && now.Sub(*contact) < leaseTTL {
		a.yields.Store(true)
	}
}

// instances returns the size of the fleet for the record. While earlier holders may
// still grant, those that have not joined yet may follow one of them: a successor
// that counted only the first to join would take them for most of the fleet.
func (a *Actor) instances(now time.Time) int {
	if a.table.Settled(now) {
		return len(a.followers)
	}
	return max(len(a.followers), a.inherited)
}

// shortenForeign ends the wait for grants of earlier holders once most instances follow this one.
func (a *Actor) shortenForeign(now time.Time) {
	if a.expected > 0 && float64(len(a.followers)) >= joinedFollowerShare*float64(a.expected) {
		a.expected = 0
		a.table.EndForeign(now.Add(inheritedGrantsTimeout))
	}
}

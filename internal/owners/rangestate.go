package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// rangeState is one range of a service with its owner.
type rangeState struct {
	Interval
	owner fleet.Incarnation
	fence int64
	phase Phase
	// expiresBy is the latest time at which the owner's grant expires.
	expiresBy time.Time
	// unansweredUntil is the time until which an unanswered grant may still take effect.
	unansweredUntil time.Time
	// issued is what this tenure has granted the owner.
	issued issuedGrant
	// inherited ranges were planned by an earlier holder, and their owner has not answered
	// this one yet: orders of the earlier holder may still take effect.
	inherited bool
	// previous is the grant that must end before the owner gets the range, or nil.
	previous *Grant
	// handover is the state that the previous owner passed on with its release.
	handover string
	// cooldownUntil is the time until which the range is not moved for load again.
	cooldownUntil time.Time
	// orderInFlight is set while an order for the range is in flight.
	orderInFlight bool
	// nextOrderAt is when the next order is due.
	nextOrderAt time.Time
	// version changes with each transition, so that results of outdated orders are recognised.
	version uint64
}

// servingOwner returns the server to which requests for the range go, and whether it holds
// the range.
func (r *rangeState) servingOwner() (name string, held bool) {
	if r.phase == PhaseConfirming {
		return r.previous.Server.Name, true
	}
	return r.owner.Name, r.phase == PhaseHeld
}

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
	// expiresBy is when the owner's hold has ended at the latest.
	expiresBy time.Time
	// unansweredUntil is until when a grant without an answer may still take effect.
	unansweredUntil time.Time
	// inherited ranges were planned by an earlier holder, and this one has not been
	// answered yet: what that one has sent may still take effect.
	inherited bool
	// previous is the hold that must end before the owner gets the range, or nil.
	previous *Grant
	// handover is what the last owner gave with the release.
	handover string
	// cooldownUntil is until when the range is not moved for load again.
	cooldownUntil time.Time
	// orderInFlight is set while an order for the range is under way.
	orderInFlight bool
	// nextOrderAt is when the next order is due.
	nextOrderAt time.Time
	// version changes with each transition, so that late answers are recognised.
	version uint64
}

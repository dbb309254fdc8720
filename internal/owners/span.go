package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// span is one range of a service with its owner.
type span struct {
	Interval
	owner fleet.Incarnation
	fence int64
	phase Phase
	// until is when the owner's hold has ended at the latest.
	until time.Time
	// lateUntil is until when a grant without an answer may still take effect.
	lateUntil time.Time
	// inherited ranges were planned by an earlier holder, and this one has not been
	// answered yet: what that one has sent may still take effect.
	inherited bool
	// previous is the hold that must end before the owner gets the range, or nil.
	previous *Grant
	// handover is what the last owner gave with the release.
	handover string
	// restsUntil is until when the range is not moved for load again.
	restsUntil time.Time
	// busy is set while an order for the range is under way.
	busy bool
	// nextAt is when the next order is due.
	nextAt time.Time
	// version changes with each transition, so that late answers are recognised.
	version uint64
}

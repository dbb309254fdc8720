package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Hold is the right of one life of a server to a range, under one fence.
type Hold struct {
	Life  fleet.Incarnation
	Fence int64
	// Until is when the hold has ended at the latest, on the holder's clock.
	Until time.Time
	// LateUntil is until when an order without an answer may still take effect.
	// A later order under a higher fence makes it void.
	LateUntil time.Time
	// PlannedLate tells that such an order was known of when the move was planned.
	PlannedLate bool
	// silent is set once the last owner has not answered an order.
	silent bool
	// voids counts the grants that were sent to make late ones void.
	voids int
	// WaitOut holds end by time only: an order of an earlier holder may still take
	// effect, and this holder cannot make it void.
	WaitOut bool
	// Shared holds stand for two lives, of which Life is one: its end proves nothing
	// about the other.
	Shared bool
}

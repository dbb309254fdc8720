package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Order is one call to a server.
type Order struct {
	Service string
	Interval
	Action Action
	Server fleet.Incarnation
	Fence  int64
	// GrantDuration is how long the keys are granted for.
	GrantDuration time.Duration
	// Handover passes on the state of the last owner.
	Handover string
	// CreatedAt is when the order was made. It must not be sent long after.
	CreatedAt time.Time
	version   uint64
	number    uint64
	// previousExpiry is when the hold would have ended without this order.
	previousExpiry time.Time
}

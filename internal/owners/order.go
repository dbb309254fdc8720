package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Order is a grant or release to be sent to one server.
type Order struct {
	Service string
	Interval
	Action Action
	Server fleet.Incarnation
	Fence  int64
	// GrantDuration is how long the keys are granted for.
	GrantDuration time.Duration
	// Handover is the state that the previous owner passed on with its release.
	Handover string
	// CreatedAt is when the order was made. The caller must not send it long after,
	// as the expiry that the table assumes counts from this time.
	CreatedAt time.Time
	version   uint64
	number    uint64
	// previousExpiry is the expiry of the grant before this order.
	previousExpiry time.Time
}

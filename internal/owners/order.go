package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/boottime"
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
	// SendBy is the time from which the order must not be written, on the clock that goes
	// on while the machine is suspended. The table does not set it.
	SendBy boottime.Instant
	// AnswerMustBeOwn is set if an answer must not be that to an earlier order: keys are
	// granted to another server because of it. Renewals need no such answer.
	AnswerMustBeOwn bool
	version         uint64
	number          uint64
	// previousExpiry is the expiry of the grant before this order, and assumedExpiry with it.
	previousExpiry, assumedExpiry time.Time
}

// withdrawnExpiry returns the expiry of the grant once it is known that nothing of the order
// has reached the server. What else has changed the expiry meanwhile remains.
func (o Order) withdrawnExpiry(expiry time.Time) time.Time {
	if expiry.Equal(o.assumedExpiry) {
		return o.previousExpiry
	}
	return expiry
}

package placing

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// Decision assigns an attempt to a server or refuses it.
type Decision struct {
	AttemptID AttemptID
	// Server is empty when the attempt is refused.
	Server string
	// HeardAt is when the server was last known, by its responses, not to be leaving, or the
	// zero time.
	HeardAt time.Time
	Reason  Reason
	// RetryAfter is how long to wait after a refusal until capacity is likely to be free.
	RetryAfter time.Duration
	// Allowance is the part of the usage cap of the team that the instance may use while it
	// hears nothing from the holder, or the zero value.
	Allowance usagecap.Allowance
}

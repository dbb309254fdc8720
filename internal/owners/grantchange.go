package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// GrantChange tells of the first grant of a range to a server under a fence, or of the end
// of such grants, for the log. Renewals are no change.
type GrantChange struct {
	Service string
	Interval
	Server fleet.Incarnation
	Fence  int64
	// SentAt is when the first order under that fence was made. It is zero if an earlier
	// holder has granted the range and this one has not.
	SentAt time.Time
	// ValidUntil is the latest time at which the grant expires, by the holder's clock.
	ValidUntil time.Time
	// Outcome is that of the first order, and Took the time until it was answered or given
	// up. They are those of a new grant only.
	Outcome Outcome
	Took    time.Duration
	// End is why the grant is not renewed any more, or GrantGoesOn if it is new.
	End GrantEnd
	// EndedAt is when that was known, or the zero time.
	EndedAt time.Time
}

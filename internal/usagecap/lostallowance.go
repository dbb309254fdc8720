package usagecap

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// lostAllowance is the allowance of an instance that may use it until a certain time, as its
// link to the holder has ended.
type lostAllowance struct {
	// rate and part are those of the allowance, and share is the instance's part of what the
	// holder may use.
	rate, part, share float64
	until             time.Time
}

// rateUnder returns the rate under the cap now in effect, which the instance learns of too.
func (x lostAllowance) rateUnder(limit fleet.Cap) float64 {
	return min(x.rate, x.part*limit.Rate)
}

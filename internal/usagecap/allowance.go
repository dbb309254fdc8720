// Package usagecap decides how much each team may use of the cap on its requests: at the
// holder for the whole fleet, and at an instance while it hears nothing from the holder. It
// does no I/O and reads no clock.
package usagecap

import (
	"math"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Allowance is the part of a cap that one instance may use by itself. The zero value
// stands for a team without a cap, or of which the instance has not been told.
type Allowance struct {
	// Rate is in requests/s.
	Rate float64
	// Tokens is how many requests may come at once now, and Burst after a pause.
	Tokens float64
	Burst  float64
	// Part is the part of the cap that Rate is; 1 is the whole.
	Part float64
	// Need is the part of the cap that the instance needs of what all holders together may use.
	// It is above Part while the holder may use a part of the cap only.
	Need float64
}

// NewAllowance returns the allowance that another process has told, or the zero value if one
// of its parts is negative, infinite or not a number. An earlier version tells no need.
func NewAllowance(rate, tokens, burst, part, need float64) Allowance {
	for _, v := range []float64{rate, tokens, burst, part, need} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return Allowance{}
		}
	}
	part = min(1, part)
	return Allowance{Rate: rate, Tokens: tokens, Burst: burst, Part: part, Need: min(1, max(part, need))}
}

// under returns the allowance under the cap now in effect, which may be lower than the one
// under which it was told.
func (a Allowance) under(limit fleet.Cap) Allowance {
	a.Rate = min(a.Rate, a.Part*limit.Rate)
	a.Burst = min(a.Burst, a.Part*localBurst(limit))
	return a
}

// told reports whether the instance has been told an allowance.
func (a Allowance) told() bool {
	return a.Rate > 0 && a.Part > 0
}

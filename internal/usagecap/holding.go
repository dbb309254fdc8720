package usagecap

import "math"

// Holding is what an instance holds of the cap of one team when it joins a holder.
type Holding struct {
	// Part is the part of the cap that it needs of what all holders together may use; 1 is the
	// whole.
	Part float64
	// Tokens is how many requests it has left, or below 0 if it has run ahead.
	Tokens float64
}

// valid reports whether an instance can hold that. The value may come from another process.
func (h Holding) valid() bool {
	return h.Part > 0 && h.Part <= 1 && !math.IsNaN(h.Tokens)
}

// Package usagecap decides how much each team may use of the cap on its requests: at the
// holder for the whole fleet, and at an instance while it hears nothing from the holder. It
// does no I/O and reads no clock.
package usagecap

// Allowance is the part of a cap that one instance may use by itself. The zero value
// stands for a team without a cap, or of which the instance has not been told.
type Allowance struct {
	// Rate is in requests/s.
	Rate float64
	// Tokens is how many requests may come at once now, and Burst after a pause.
	Tokens float64
	Burst  float64
}

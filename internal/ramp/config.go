// Package ramp computes how much work a backend server may get while it is in a
// cold start, and infers from its behaviour that it has turned cold. It is pure.
package ramp

// Config holds the limits of the ramp of one server.
type Config struct {
	// Slots is the number of requests that the warm server runs at a time.
	Slots int
	// ColdRate is the first rate of a cold server, in requests/s.
	ColdRate float64
	// TakeoverRate is the first rate after a takeover, in requests/s.
	TakeoverRate float64
}

const (
	// DefaultColdRate and DefaultTakeoverRate are in requests/s.
	DefaultColdRate     = 5.0
	DefaultTakeoverRate = 20.0
	// minRate keeps a failing server observable, in requests/s.
	minRate = 1.0
	// minRateForSlots is the rate from which each step also adds a slot, in requests/s.
	minRateForSlots = 20.0
	// maxRate bounds the doubling, in requests/s.
	maxRate = 1e6
	// successesPerStep is the number of consecutive successes that double the rate.
	successesPerStep = 10
)

// WithDefaults returns the config with unset values replaced.
func (c Config) WithDefaults() Config {
	if c.Slots < 1 {
		c.Slots = 1
	}
	if c.ColdRate <= 0 {
		c.ColdRate = DefaultColdRate
	}
	if c.TakeoverRate <= 0 {
		c.TakeoverRate = DefaultTakeoverRate
	}
	return c
}

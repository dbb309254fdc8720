// Package ramp implements the slow start of backend servers: it limits the requests to a
// server after a cold start, and infers cold starts from the server's behaviour. It does
// no I/O and reads no clock.
package ramp

// Config holds the limits of the slow start of one server.
type Config struct {
	// Slots is the number of requests that the server may run at a time when it is warm.
	Slots int
	// ColdRate is the initial rate of a cold server, in requests/s.
	ColdRate float64
	// TakeoverRate is the initial rate after a takeover by a new holder, in requests/s.
	TakeoverRate float64
}

const (
	// DefaultColdRate and DefaultTakeoverRate are in requests/s.
	DefaultColdRate     = 5.0
	DefaultTakeoverRate = 20.0
	// minRate is the lower limit of the rate, in requests/s. It keeps some requests
	// going to a failing server, so that its recovery is noticed.
	minRate = 1.0
	// minRateForSlots is the rate from which on each step also adds a slot, in requests/s.
	minRateForSlots = 20.0
	// maxRate is the upper limit of the rate, in requests/s.
	maxRate = 1e6
	// successesPerStep is the number of consecutive successes that double the rate.
	successesPerStep = 10
)

// WithDefaults returns c with unset or invalid values replaced by defaults.
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

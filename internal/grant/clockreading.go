package grant

import "time"

// MaxClockReadingAge is the maximum age of a clock reading that an expiry is
// based on. The drift margin of a tenure covers the clock drift within 600 ms,
// and so it covers a reading of this age.
const MaxClockReadingAge = 600 * time.Millisecond

// driftDivisor sets the clock drift between holder and server that the
// calculation of expired grants allows for: 1/100, as for tenures.
const driftDivisor = 100

// ClockReading is a reading of a server's monotonic clock.
type ClockReading struct {
	// ServerClock is the reading from the server's response.
	ServerClock time.Duration
	// ReceivedAt is when the holder received the response, on its own monotonic
	// clock. The server's clock reaches ServerClock+d no later than the holder's
	// clock reaches ReceivedAt+d.
	ReceivedAt time.Time
}

// Expiry converts end from the holder's clock to the server's clock, so that a
// grant with this expiry does not outlive end.
func (r ClockReading) Expiry(end time.Time) time.Duration {
	return r.ServerClock + end.Sub(r.ReceivedAt)
}

// ExpiredBy returns the holder's time by which a grant with the given expiry has
// ended on the server. It includes the drift margin.
func (r ClockReading) ExpiredBy(expiry time.Duration) time.Time {
	left := max(expiry-r.ServerClock, 0)
	return r.ReceivedAt.Add(left + left/driftDivisor)
}

// Fresh reports whether the reading is recent enough to be used at now.
func (r ClockReading) Fresh(now time.Time) bool {
	return !r.ReceivedAt.IsZero() && now.Sub(r.ReceivedAt) <= MaxClockReadingAge
}

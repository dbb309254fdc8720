package grant

import "time"

// MaxClockReadingAge is the age from which an echo no longer justifies an expiry. The
// drift margin of a tenure covers 600 ms of clock drift, and so must an echo.
const MaxClockReadingAge = 600 * time.Millisecond

// driftDivisor is the clock drift between holder and server that provable expiry
// allows for: 1%, as for tenures.
const driftDivisor = 100

// ClockReading is a reading of a server's monotonic clock.
type ClockReading struct {
	// ServerClock is what the server answered.
	ServerClock time.Duration
	// ReceivedAt is when the holder received the answer, on its own monotonic clock. The
	// server's clock reaches Clock+d not later than the holder's reaches ReceivedAt+d.
	ReceivedAt time.Time
}

// Expiry returns the end of a grant on the server's clock such that the grant
// does not outlive end on the holder's clock.
func (r ClockReading) Expiry(end time.Time) time.Duration {
	return r.ServerClock + end.Sub(r.ReceivedAt)
}

// ExpiredBy returns the holder's time by which a grant with the given expiry has
// ended on the server, with the drift margin added.
func (r ClockReading) ExpiredBy(expiry time.Duration) time.Time {
	left := max(expiry-r.ServerClock, 0)
	return r.ReceivedAt.Add(left + left/driftDivisor)
}

// Fresh reports whether the echo may still be used at now.
func (r ClockReading) Fresh(now time.Time) bool {
	return !r.ReceivedAt.IsZero() && now.Sub(r.ReceivedAt) <= MaxClockReadingAge
}

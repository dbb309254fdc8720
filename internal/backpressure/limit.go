package backpressure

import "math"

const (
	// minRate, in requests/s, is the lowest rate that is kept to. It lets a server that
	// wants nothing be asked from time to time, as only a response ends its limit.
	minRate = 0.25
	// rateTolerance is the share by which a limit may differ from the one that is known
	// without being a new one, so that not every response changes the state.
	rateTolerance = 0.05
)

// Limit is the rate limit of a server. The zero Limit is none.
type Limit struct {
	// Named is set if there is a limit.
	Named bool
	// PerSecond is the number of requests/s from all instances together.
	PerSecond float64
}

// Rate returns the rate that instances keep to in requests/s, or false without a limit.
func (l Limit) Rate() (float64, bool) {
	return max(l.PerSecond, minRate), l.Named
}

// Cap returns the lower one of a rate, in requests/s, and that of the limit.
func (l Limit) Cap(perSecond float64) float64 {
	if rate, limited := l.Rate(); limited {
		return min(perSecond, rate)
	}
	return perSecond
}

// similar reports whether both limits are about the same.
func (l Limit) similar(other Limit) bool {
	return l.Named == other.Named && math.Abs(l.PerSecond-other.PerSecond) <= rateTolerance*max(l.PerSecond, other.PerSecond)
}

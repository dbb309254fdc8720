package servers

import (
	"math"
	"math/rand/v2"
	"time"
)

// slowWindow is the length of the periods in which a server is slow as a whole.
const slowWindow = 200 * time.Millisecond

// ServiceTimes is the distribution of the service times. The zero value is 0 for each request.
type ServiceTimes struct {
	// Median is the median of a log-normal distribution.
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; 0.4 puts the 99th percentile at 2.5 medians.
	Sigma float64
	// SlowShare is the share of windows in which the server is slow, as next to a noisy neighbour.
	SlowShare float64
	// SlowFactor multiplies the service times in those windows.
	SlowFactor float64
}

// draw returns the service time of one request that starts at offset since the server's start.
func (w ServiceTimes) draw(random *rand.Rand, seed uint64, offset time.Duration) time.Duration {
	d := float64(w.Median) * math.Exp(w.Sigma*random.NormFloat64())
	if w.isSlow(seed, offset) {
		d *= w.SlowFactor
	}
	return time.Duration(d)
}

// isSlow reports whether the window that contains offset is a slow one.
func (w ServiceTimes) isSlow(seed uint64, offset time.Duration) bool {
	if w.SlowShare == 0 {
		return false
	}
	window := rand.New(rand.NewPCG(seed, uint64(offset/slowWindow)))
	return window.Float64() < w.SlowShare
}

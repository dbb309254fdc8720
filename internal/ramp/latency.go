package ramp

import "time"

const (
	// slowFactor is the factor by which a request without contention must exceed the long-term
	// latency to count as slow.
	slowFactor = 4
	// LongTermWeight is the weight of one sample in the moving average that is the
	// long-term latency.
	LongTermWeight = 0.01
	// longTermSamples is the number of samples from which on the long-term latency is
	// used.
	longTermSamples = 50
	// SlowSamplesUntilCold is the number of consecutive slow samples that indicate a cold
	// start. One is not enough: 1.8% of exponentially distributed latencies exceed four
	// times the mean, and a pause of the process delays a single request.
	SlowSamplesUntilCold = 5
	// minSlowLatency is the lowest latency that counts as slow. It excludes scheduling
	// delays of fast servers.
	minSlowLatency = 5 * time.Millisecond
)

// SlowWhileIdle reports whether a sample indicates a cold start: it exceeds four times
// the long-term latency although at most one request was outstanding.
func SlowWhileIdle(sample, longTerm time.Duration, samples uint64, outstanding int) bool {
	if outstanding > 1 || samples < longTermSamples || sample < minSlowLatency {
		return false
	}
	return sample > slowFactor*longTerm
}

package ramp

import "time"

const (
	// slowFactor is how far an uncontended request must exceed the long-term latency.
	slowFactor = 4
	// LongTermWeight is the share of one sample in the long-term latency.
	LongTermWeight = 0.01
	// longTermSamples is the number of samples before the long-term latency is trusted.
	longTermSamples = 50
	// SlowSamplesUntilCold is the number of such samples in a row that count as a cold
	// start. One is not enough: of exponentially distributed latencies 1.8% exceed
	// four times the mean, and a pause of the process delays a single request.
	SlowSamplesUntilCold = 5
	// minSlowLatency keeps scheduling delays of fast servers from counting as a cold start.
	minSlowLatency = 5 * time.Millisecond
)

// SlowWhileIdle reports whether a sample looks like a cold start: it exceeds four
// times the long-term latency although at most one request was outstanding.
func SlowWhileIdle(sample, longTerm time.Duration, samples uint64, outstanding int) bool {
	if outstanding > 1 || samples < longTermSamples || sample < minSlowLatency {
		return false
	}
	return sample > slowFactor*longTerm
}

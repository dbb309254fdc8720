package choice

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// hedgeQuantile is the share of requests that finish within the hedge delay.
	hedgeQuantile = 0.95
	// sampleStep is the relative change of the estimate per sample. With 0.05 the estimate
	// follows a change in latency within about 100 requests.
	sampleStep = 0.05
	// minDelay is the shortest hedge delay. It prevents hedges from being sent before a
	// fast server can respond.
	minDelay = time.Millisecond
	// initialEstimateFactor is the ratio of the first estimate to the first sample. It
	// makes the estimate start well above that sample.
	initialEstimateFactor = 2
)

// HedgeDelay estimates the 95th percentile of a service's latency in a single atomic
// variable. A sample above the estimate raises it 19 times as much as a sample below
// lowers it, so it converges to the value that 5% of the samples exceed.
type HedgeDelay struct {
	estimate atomic.Uint64
}

// Observe adds one latency sample. For a request that was cancelled because its hedge
// finished first, the sample is the time until the cancellation.
func (d *HedgeDelay) Observe(sample time.Duration) {
	for {
		old := d.estimate.Load()
		next := nextEstimate(math.Float64frombits(old), float64(sample))
		if d.estimate.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

func nextEstimate(estimate, sample float64) float64 {
	if estimate == 0 {
		return sample * initialEstimateFactor
	}
	if sample > estimate {
		return estimate * (1 + sampleStep*hedgeQuantile)
	}
	return estimate * (1 - sampleStep*(1-hedgeQuantile))
}

// Estimate returns the delay after which a request is hedged, or false before the first
// sample.
func (d *HedgeDelay) Estimate() (time.Duration, bool) {
	estimate := time.Duration(math.Float64frombits(d.estimate.Load()))
	if estimate == 0 {
		return 0, false
	}
	return max(estimate, minDelay), true
}

package choice

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// hedgeQuantile is the share of requests that end before the hedge delay.
	hedgeQuantile = 0.95
	// sampleStep is the relative step of one sample. 0.05 follows a change of
	// latency within about 100 requests.
	sampleStep = 0.05
	// minDelay keeps a hedge from being sent before a fast server can answer.
	minDelay = time.Millisecond
	// initialEstimateFactor sets the first estimate well above the first sample.
	initialEstimateFactor = 2
)

// HedgeDelay estimates the p95 of a service's latency in one atomic: each sample above
// the estimate raises it by 19 times what one below lowers it, so that it comes
// to rest where 5 in 100 samples are above.
type HedgeDelay struct {
	estimate atomic.Uint64
}

// Observe counts one latency. For a request cancelled because its hedge won it is
// the time until then.
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

// Estimate returns the time after which a request is hedged, and false before the
// first sample.
func (d *HedgeDelay) Estimate() (time.Duration, bool) {
	estimate := time.Duration(math.Float64frombits(d.estimate.Load()))
	if estimate == 0 {
		return 0, false
	}
	return max(estimate, minDelay), true
}

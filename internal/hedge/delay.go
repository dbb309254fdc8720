package hedge

import (
	"math"
	"sync/atomic"
	"time"
)

// Delay learns a high quantile of the response times of a service, after which a request is
// hedged. It keeps a histogram with logarithmic buckets whose counts decay with the number of
// samples. It is safe for concurrent use and takes no lock: reading it is one atomic load.
type Delay struct {
	quantile float64
	counts   [numBuckets]atomic.Uint32
	samples  atomic.Uint64
	updating atomic.Bool
	// learned is the delay in nanoseconds, or 0 while there are too few samples.
	learned atomic.Int64
}

// NewDelay returns a delay that has learned nothing. It hedges the slowest requests that the
// limit has room for: the quantile is 1 minus the share of hedges, within 0.90 and 0.99.
func NewDelay(share float64) *Delay {
	return &Delay{quantile: min(max(1-share, minQuantile), maxQuantile)}
}

// Observe records the response time of a first attempt.
func (d *Delay) Observe(sample time.Duration) {
	d.counts[bucketOf(sample)].Add(1)
	if d.samples.Add(1)%samplesPerUpdate == 0 && d.updating.CompareAndSwap(false, true) {
		d.update()
		d.updating.Store(false)
	}
}

// ObserveUnfinished records that a first attempt was cancelled after the given time. Its
// response time is unknown but above elapsed, which says nothing if elapsed is short.
func (d *Delay) ObserveUnfinished(elapsed time.Duration) {
	if after, known := d.After(); known && elapsed >= after {
		d.Observe(elapsed)
	}
}

// After returns the delay after which a request is hedged, or false while it is unknown.
func (d *Delay) After() (time.Duration, bool) {
	learned := time.Duration(d.learned.Load())
	return learned, learned > 0
}

// update publishes the delay and halves the counts if there are many. Samples that are added
// meanwhile are counted now or later. It must not run twice at the same time.
func (d *Delay) update() {
	var counts [numBuckets]uint32
	total := uint32(0)
	for i := range counts {
		counts[i] = d.counts[i].Load()
		total += counts[i]
	}
	if total >= minSamples {
		rank, sum, at := uint32(math.Ceil(d.quantile*float64(total))), uint32(0), 0
		for sum += counts[0]; sum < rank; sum += counts[at] {
			at++
		}
		d.learned.Store(int64(upperBound(at)))
	}
	if total >= maxSamples {
		for i := range counts {
			d.counts[i].Add(-(counts[i] / 2)) // wraps around, which subtracts
		}
	}
}

// bucketOf returns the bucket of a response time.
func bucketOf(sample time.Duration) int {
	if sample <= minBound {
		return 0
	}
	return min(int(math.Ceil(bucketsPerDoubling*math.Log2(float64(sample)/float64(minBound)))), numBuckets-1)
}

// upperBound returns the longest response time of a bucket.
func upperBound(bucket int) time.Duration {
	return time.Duration(float64(minBound) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}

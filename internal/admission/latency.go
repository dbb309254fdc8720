package admission

import (
	"math"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/ramp"
)

// shortTermWeight is the weight of one sample in the short-term average. With it, a slow
// server is visible after about 5 requests.
const shortTermWeight = 0.2

// latency holds the short-term and long-term exponentially weighted moving averages of the
// latency of one server, as bits of float64 values.
type latency struct {
	short   atomic.Uint64
	long    atomic.Uint64
	samples atomic.Uint64
	// last is the time of the last sample, in nanoseconds of Unix time.
	last atomic.Int64
	// slowInARow is the number of consecutive samples that look like a cold start.
	slowInARow atomic.Int64
}

// addSample adds the latency of an answered request.
func (l *latency) addSample(sample time.Duration) {
	addToAverage(&l.short, sample, shortTermWeight)
	addToAverage(&l.long, sample, ramp.LongTermWeight)
	l.samples.Add(1)
	l.last.Store(time.Now().UnixNano())
}

// addLowerBound adds a request that was cancelled after the duration sample. Its latency is
// longer than that, so the sample may only raise the average.
func (l *latency) addLowerBound(sample time.Duration) {
	if sample > l.shortTerm() {
		addToAverage(&l.short, sample, shortTermWeight)
		l.last.Store(time.Now().UnixNano())
	}
}

func (l *latency) shortTerm() time.Duration { return loadAverage(&l.short) }
func (l *latency) longTerm() time.Duration  { return loadAverage(&l.long) }

// countSlow counts one sample and reports whether enough consecutive ones were slow for the
// server to count as cold.
func (l *latency) countSlow(slow bool) bool {
	if slow {
		return l.slowInARow.Add(1) >= ramp.SlowSamplesUntilCold
	}
	if l.slowInARow.Load() != 0 {
		l.slowInARow.Store(0)
	}
	return false
}

// resetLongTerm restarts the long-term average with the next sample.
func (l *latency) resetLongTerm() {
	l.long.Store(0)
	l.samples.Store(0)
	l.slowInARow.Store(0)
}

func loadAverage(average *atomic.Uint64) time.Duration {
	return time.Duration(math.Float64frombits(average.Load()))
}

func addToAverage(average *atomic.Uint64, sample time.Duration, weight float64) {
	for {
		old := average.Load()
		value := math.Float64frombits(old)
		next := float64(sample)
		if old != 0 {
			next = value + weight*(float64(sample)-value)
		}
		if average.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

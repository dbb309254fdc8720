package admission

import (
	"math"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/ramp"
)

// shortTermWeight is the share of one sample in the short-term latency. A
// straggler is visible after about 5 requests.
const shortTermWeight = 0.2

// latency keeps the short-term and long-term exponentially weighted moving
// average of one server's latency in atomics.
type latency struct {
	short   atomic.Uint64
	long    atomic.Uint64
	samples atomic.Uint64
	// last is when the last sample came, in nanoseconds of Unix time.
	last atomic.Int64
	// slowInARow counts samples that look like a cold start since the last one that did not.
	slowInARow atomic.Int64
}

// addSample counts the latency of an answered request.
func (l *latency) addSample(sample time.Duration) {
	addToAverage(&l.short, sample, shortTermWeight)
	addToAverage(&l.long, sample, ramp.LongTermWeight)
	l.samples.Add(1)
	l.last.Store(time.Now().UnixNano())
}

// addLowerBound counts a request that was abandoned after sample: its latency is
// longer than that, so the sample only ever raises the average.
func (l *latency) addLowerBound(sample time.Duration) {
	if sample > l.shortTerm() {
		addToAverage(&l.short, sample, shortTermWeight)
		l.last.Store(time.Now().UnixNano())
	}
}

func (l *latency) shortTerm() time.Duration { return loadAverage(&l.short) }
func (l *latency) longTerm() time.Duration  { return loadAverage(&l.long) }

// countSlow counts one sample and reports whether the server counts as cold.
func (l *latency) countSlow(slow bool) bool {
	if slow {
		return l.slowInARow.Add(1) >= ramp.SlowSamplesUntilCold
	}
	if l.slowInARow.Load() != 0 {
		l.slowInARow.Store(0)
	}
	return false
}

// resetLongTerm makes the next samples define the long-term latency anew.
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

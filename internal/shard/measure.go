package shard

import (
	"math"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
)

// measureEvery is the time between two measurements of the load.
const measureEvery = 500 * time.Millisecond

// loadHalfLife is how fast old load fades. The hottest keys change within
// minutes; a few seconds smooth bursts and still follow them.
const loadHalfLife = 3 * time.Second

// sketchKeys is the number of keys that the planner considers.
const sketchKeys = 32

// sketchCounters is the number of counters behind them. With 32 counters a stream
// of which half is rare keys showed 2 of its 17 hot keys; with 256 it shows all.
const sketchCounters = 256

// sketchMinimum is the number of samples below which shares mean nothing.
const sketchMinimum = 50

// measure updates the request rates of the ranges and the sketch of hot keys.
func (t *term) measure(now time.Time) {
	elapsed := now.Sub(t.measuredAt)
	if elapsed < measureEvery {
		t.alarm.at(t.measuredAt.Add(measureEvery))
		return
	}
	t.measuredAt = now
	t.alarm.at(now.Add(measureEvery))
	keep := math.Exp2(-float64(elapsed) / float64(loadHalfLife))
	t.totalRate = 0
	for _, r := range t.rows {
		r.measure(elapsed, keep)
		r.pruneEarlier(t.generation())
		t.totalRate += r.rate
	}
	t.sketch.Decay(keep)
	t.runtime.sampler.Drain(t.sketch.Add)
	t.report(now)
}

// measure folds the requests since the last measurement into the average rate.
func (r *row) measure(elapsed time.Duration, keep float64) {
	count := r.state.Requests.Load()
	rate := float64(count-r.counted) / elapsed.Seconds()
	r.counted = count
	r.rate = keep*r.rate + (1-keep)*rate
}

// hotKeys returns the keys of the sketch with their request rates.
func (t *term) hotKeys() []assign.HotKey {
	if t.sketch.Total() < sketchMinimum {
		return nil
	}
	top := t.sketch.Top(sketchKeys)
	keys := make([]assign.HotKey, len(top))
	for i, share := range top {
		keys[i] = assign.HotKey{Hash: share.Hash, Rate: share.Share * t.totalRate}
	}
	return keys
}

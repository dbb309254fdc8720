package shard

import (
	"math"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
)

// measureInterval is the time between two measurements of the load.
const measureInterval = 500 * time.Millisecond

// rateHalfLife is the half-life of measured load. The hottest keys change within
// minutes; a few seconds smooth bursts and still follow them.
const rateHalfLife = 3 * time.Second

// maxHotKeys is the number of hot keys that are passed to the planner.
const maxHotKeys = 32

// sketchCounters is the number of counters of the sketch. With 32 counters, a stream of
// which half is rare keys showed only 2 of its 17 hot keys; with 256 it shows all.
const sketchCounters = 256

// minSketchSamples is the number of samples below which the shares of keys are not
// significant.
const minSketchSamples = 50

// measureLoad updates the request rates of the ranges and the sketch of hot keys.
func (c *coordinator) measureLoad(now time.Time) {
	elapsed := now.Sub(c.measuredAt)
	if elapsed < measureInterval {
		c.wakeTime.add(c.measuredAt.Add(measureInterval))
		return
	}
	c.measuredAt = now
	c.wakeTime.add(now.Add(measureInterval))
	keep := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	c.totalRate = 0
	for _, r := range c.ranges {
		r.updateRate(elapsed, keep)
		r.pruneEarlierStates(c.generation())
		c.totalRate += r.rate
	}
	c.sketch.Decay(keep)
	c.runtime.sampler.Drain(c.sketch.Add)
	c.publishStatus(now)
}

// updateRate adds the requests since the last measurement to the average rate.
func (r *managedRange) updateRate(elapsed time.Duration, keep float64) {
	count := r.state.Requests.Load()
	rate := float64(count-r.measuredRequests) / elapsed.Seconds()
	r.measuredRequests = count
	r.rate = keep*r.rate + (1-keep)*rate
}

// hotKeys returns the most frequent keys with their request rates.
func (c *coordinator) hotKeys() []assign.HotKey {
	if c.sketch.Total() < minSketchSamples {
		return nil
	}
	top := c.sketch.Top(maxHotKeys)
	keys := make([]assign.HotKey, len(top))
	for i, share := range top {
		keys[i] = assign.HotKey{Hash: share.Hash, Rate: share.Share * c.totalRate}
	}
	return keys
}

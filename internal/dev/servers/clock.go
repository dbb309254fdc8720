package servers

import (
	"sync/atomic"
	"time"
)

// clock is the monotonic clock of one server. Its origin and rate differ from those of other servers.
type clock struct {
	start time.Time
	// rate is the speed of the clock relative to real time.
	rate float64
	// offset is added to each reading, in nanoseconds.
	offset atomic.Int64
}

func newClock(drift float64, origin time.Duration) *clock {
	c := &clock{start: time.Now(), rate: 1 + drift}
	c.offset.Store(int64(origin))
	return c
}

// now returns the reading of the clock.
func (c *clock) now() time.Duration {
	elapsed := float64(time.Since(c.start)) * c.rate
	return time.Duration(c.offset.Load()) + time.Duration(elapsed)
}

// realTime returns the time of the process at which the clock shows reading.
func (c *clock) realTime(reading time.Duration) time.Time {
	elapsed := float64(reading-time.Duration(c.offset.Load())) / c.rate
	return c.start.Add(time.Duration(elapsed))
}

func (c *clock) advance(d time.Duration) {
	c.offset.Add(int64(d))
}

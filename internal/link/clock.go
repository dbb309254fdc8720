package link

import (
	"sync/atomic"
	"time"
)

// offsetWindow is how long the offset of a message is used at least, and half of how long it
// is used at most. The clocks drift less than a millisecond within it.
const offsetWindow = 2 * time.Second

// Clock translates times between the two ends of a link, whose clocks differ. A message
// arrives after it was sent, so that a translated time is at most as late as the true one,
// whatever the messages wait for on their way.
type Clock struct {
	startedAt time.Time
	offsets   atomic.Pointer[clockOffsets]
}

// NewClock returns a clock that has heard nothing from the other end yet.
func NewClock() *Clock {
	return &Clock{startedAt: time.Now()}
}

// share makes both ends use this clock.
func (c *Clock) share() {
	c.offsets.Store(&clockOffsets{})
}

// stamp returns the time now for the other end.
func (c *Clock) stamp() int64 {
	return time.Since(c.startedAt).Microseconds()
}

// observe records that a message with the given stamp of the other end arrived. It must not
// be called concurrently.
func (c *Clock) observe(stamp int64, arrivedAt time.Time) {
	own := arrivedAt.Sub(c.startedAt)
	offset := microseconds(stamp) - own
	next := clockOffsets{best: offset, previous: offset, since: own}
	if o := c.offsets.Load(); o != nil {
		if own-o.since < offsetWindow {
			next = clockOffsets{best: max(offset, o.best), previous: o.previous, since: o.since}
		} else {
			next.previous = o.best
		}
	}
	c.offsets.Store(&next)
}

// encode returns a time by the clock of the other end, or 0 if nothing has arrived from it.
// A nil clock knows no other end.
func (c *Clock) encode(at time.Time) int64 {
	if c == nil || at.IsZero() {
		return 0
	}
	o := c.offsets.Load()
	if o == nil {
		return 0
	}
	us := (at.Sub(c.startedAt) + max(o.best, o.previous)).Microseconds()
	if us == 0 {
		return -1 // 0 stands for unknown
	}
	return us
}

// decode returns the time that the other end has encoded, or the zero time for 0. It is never
// in the future, where a suspension of this machine would put it: its clock stood still.
func (c *Clock) decode(us int64) time.Time {
	if c == nil || us == 0 {
		return time.Time{}
	}
	now := time.Now()
	if at := c.startedAt.Add(microseconds(us)); at.Before(now) {
		return at
	}
	return now
}

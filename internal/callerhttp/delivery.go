package callerhttp

import "time"

// delivery follows how much of what was written to a connection its caller has not
// acknowledged. It does no I/O.
type delivery struct {
	untaken int
	// changedAt is when untaken last changed, which is a sign of the caller unless a response
	// was written since.
	changedAt time.Time
}

// observe records that untaken bytes are not acknowledged at now. It reports whether the
// number has changed.
func (d *delivery) observe(now time.Time, untaken int) bool {
	if untaken == d.untaken {
		return false
	}
	d.untaken, d.changedAt = untaken, now
	return true
}

// inProgress reports whether a caller takes, or may still take, what it has not acknowledged.
func (d *delivery) inProgress(now time.Time) bool {
	return d.untaken > 0 && now.Before(d.changedAt.Add(stallTimeout))
}

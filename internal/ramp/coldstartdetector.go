package ramp

import "time"

// shedWindow is the time within which two sheds count as a cold start.
const shedWindow = time.Second

// ColdStartDetector infers that a server has turned cold from events that are rare. It is
// immutable; each observation returns the next detector and the reason when the
// server counts as cold from now on.
type ColdStartDetector struct {
	incarnation string
	lastRefused bool
	lastShed    time.Time
}

// SameIncarnation reports whether id is the incarnation seen last, or empty.
func (d ColdStartDetector) SameIncarnation(id string) bool {
	return id == "" || id == d.incarnation
}

// LastRefused reports whether the last connection attempt was refused.
func (d ColdStartDetector) LastRefused() bool {
	return d.lastRefused
}

// ObserveIncarnation observes the incarnation that a response carried. The first one
// that is seen is no change.
func (d ColdStartDetector) ObserveIncarnation(id string) (ColdStartDetector, Reason) {
	if d.SameIncarnation(id) {
		return d, ReasonNone
	}
	first := d.incarnation == ""
	d.incarnation = id
	if first {
		return d, ReasonNone
	}
	d.lastRefused = false
	return d, ReasonIncarnation
}

// ObserveRefused observes a refused connection.
func (d ColdStartDetector) ObserveRefused() ColdStartDetector {
	d.lastRefused = true
	return d
}

// ObserveAccepted observes a connection that was accepted.
func (d ColdStartDetector) ObserveAccepted() (ColdStartDetector, Reason) {
	if !d.lastRefused {
		return d, ReasonNone
	}
	d.lastRefused = false
	return d, ReasonReconnected
}

// ObserveShed observes that the server shed a request.
func (d ColdStartDetector) ObserveShed(now time.Time) (ColdStartDetector, Reason) {
	second := !d.lastShed.IsZero() && now.Sub(d.lastShed) <= shedWindow
	if second {
		d.lastShed = time.Time{}
		return d, ReasonSheds
	}
	d.lastShed = now
	return d, ReasonNone
}

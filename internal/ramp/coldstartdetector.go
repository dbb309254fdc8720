package ramp

import "time"

// shedWindow is the time within which two shed requests indicate a cold start.
const shedWindow = time.Second

// ColdStartDetector infers from rare events that a server has restarted cold. It is
// immutable; each observation returns the next detector and, if the server is to be
// considered cold from now on, the reason.
type ColdStartDetector struct {
	incarnation string
	lastRefused bool
	lastShed    time.Time
}

// SameIncarnation reports whether id is empty or the incarnation that was observed last.
func (d ColdStartDetector) SameIncarnation(id string) bool {
	return id == "" || id == d.incarnation
}

// LastRefused reports whether the last connection attempt was refused.
func (d ColdStartDetector) LastRefused() bool {
	return d.lastRefused
}

// ObserveIncarnation records the incarnation that a response carried. The first one
// observed does not count as a change.
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

// ObserveRefused records a refused connection.
func (d ColdStartDetector) ObserveRefused() ColdStartDetector {
	d.lastRefused = true
	return d
}

// ObserveAccepted records an accepted connection.
func (d ColdStartDetector) ObserveAccepted() (ColdStartDetector, Reason) {
	if !d.lastRefused {
		return d, ReasonNone
	}
	d.lastRefused = false
	return d, ReasonReconnected
}

// ObserveShed records that the server shed a request.
func (d ColdStartDetector) ObserveShed(now time.Time) (ColdStartDetector, Reason) {
	second := !d.lastShed.IsZero() && now.Sub(d.lastShed) <= shedWindow
	if second {
		d.lastShed = time.Time{}
		return d, ReasonSheds
	}
	d.lastShed = now
	return d, ReasonNone
}

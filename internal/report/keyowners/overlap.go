package keyowners

import "time"

// Overlap is a time in which two servers had a grant of the key, by the clocks of the
// instances that gave them.
type Overlap struct {
	First  Grant     `json:"first"`
	Second Grant     `json:"second"`
	From   time.Time `json:"from"`
	// Until is zero if no line tells when either of the grants ended.
	Until time.Time `json:"until,omitzero"`
}

// overlapOf returns the time in which both grants were valid, where first was sent first.
func overlapOf(first, second Grant) (Overlap, bool) {
	if first.sameServer(second) || !first.Until.IsZero() && !second.SentAt.Before(first.Until) {
		return Overlap{}, false
	}
	until := first.Until
	if until.IsZero() || !second.Until.IsZero() && second.Until.Before(until) {
		until = second.Until
	}
	return Overlap{First: first, Second: second, From: second.SentAt, Until: until}, true
}

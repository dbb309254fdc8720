package placing

import "time"

// queuedAttempt is an attempt that is not assigned to a server yet.
type queuedAttempt struct {
	Attempt
	// checked is set when it is known whether the caller returns after a refusal.
	checked bool
	// returning is set for an attempt of a caller that was refused before, and promised if it
	// takes the place on the schedule that it was told.
	returning, promised bool
	// tag is the place of the attempt among those of its priority.
	tag float64
}

// meetsSoftDeadline reports whether an attempt that needs the given seconds ends
// before its soft deadline.
func (w *queuedAttempt) meetsSoftDeadline(now time.Time, need float64) bool {
	return now.Add(seconds(need)).Before(w.SoftDeadline)
}

// meetsDeadline reports whether an attempt that needs the given seconds ends before
// its deadline.
func (w *queuedAttempt) meetsDeadline(now time.Time, need float64) bool {
	return now.Add(seconds(need)).Before(w.Deadline)
}

// before reports whether a new attempt w is to be served before the attempt o.
func (w *queuedAttempt) before(o *queuedAttempt) bool {
	if w.Priority != o.Priority {
		return w.Priority < o.Priority
	}
	return w.tag < o.tag
}

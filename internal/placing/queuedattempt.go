package placing

import "time"

// queuedAttempt is a request without a server yet.
type queuedAttempt struct {
	Attempt
}

// meetsSoftDeadline reports whether a request that needs the given seconds ends by its target.
func (w *queuedAttempt) meetsSoftDeadline(now time.Time, need float64) bool {
	return now.Add(seconds(need)).Before(w.SoftDeadline)
}

// meetsDeadline reports whether it ends before its deadline.
func (w *queuedAttempt) meetsDeadline(now time.Time, need float64) bool {
	return now.Add(seconds(need)).Before(w.Deadline)
}

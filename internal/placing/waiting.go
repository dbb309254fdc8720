package placing

import "time"

// waiting is a request without a server yet.
type waiting struct {
	Attempt
}

// onTime reports whether a request that needs the given seconds ends by its target.
func (w *waiting) onTime(now time.Time, need float64) bool {
	return now.Add(seconds(need)).Before(w.SoftDeadline)
}

// possible reports whether it ends before its deadline.
func (w *waiting) possible(now time.Time, need float64) bool {
	return now.Add(seconds(need)).Before(w.Deadline)
}

package report

import "time"

// Window selects requests by their arrival time. A zero bound is open.
type Window struct {
	From time.Time `json:"from"`
	// To is exclusive.
	To time.Time `json:"to"`
}

// Contains reports whether at lies in the window.
func (w Window) Contains(at time.Time) bool {
	return !at.Before(w.From) && (w.To.IsZero() || at.Before(w.To))
}

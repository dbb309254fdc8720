package shard

import "time"

// wakeTime is the earliest time at which the coordinator has something to do.
type wakeTime struct {
	due time.Time
}

func (w *wakeTime) reset() {
	w.due = time.Time{}
}

// add makes the coordinator wake up at due at the latest.
func (w *wakeTime) add(due time.Time) {
	if w.due.IsZero() || due.Before(w.due) {
		w.due = due
	}
}

// minWait keeps the event loop from spinning on a time that has already passed.
const minWait = 100 * time.Microsecond

// untilNext returns how long to wait, at most one second.
func (w *wakeTime) untilNext(now time.Time) time.Duration {
	if w.due.IsZero() {
		return time.Second
	}
	return min(max(w.due.Sub(now), minWait), time.Second)
}

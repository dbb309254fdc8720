package shard

import "time"

// alarm collects the earliest time at which something is due.
type wakeTime struct {
	due time.Time
}

// clear forgets all times.
func (w *wakeTime) reset() {
	w.due = time.Time{}
}

// at adds a time.
func (w *wakeTime) add(due time.Time) {
	if w.due.IsZero() || due.Before(w.due) {
		w.due = due
	}
}

// shortestWait keeps the goroutine from spinning on a time that has passed.
const minWait = 100 * time.Microsecond

// wait returns how long to sleep, at most a second.
func (w *wakeTime) untilNext(now time.Time) time.Duration {
	if w.due.IsZero() {
		return time.Second
	}
	return min(max(w.due.Sub(now), minWait), time.Second)
}

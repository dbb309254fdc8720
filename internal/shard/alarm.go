package shard

import "time"

// alarm collects the earliest time at which something is due.
type alarm struct {
	due time.Time
}

// clear forgets all times.
func (a *alarm) clear() {
	a.due = time.Time{}
}

// at adds a time.
func (a *alarm) at(due time.Time) {
	if a.due.IsZero() || due.Before(a.due) {
		a.due = due
	}
}

// shortestWait keeps the goroutine from spinning on a time that has passed.
const shortestWait = 100 * time.Microsecond

// wait returns how long to sleep, at most a second.
func (a *alarm) wait(now time.Time) time.Duration {
	if a.due.IsZero() {
		return time.Second
	}
	return min(max(a.due.Sub(now), shortestWait), time.Second)
}

package ownership

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// LongestGap returns the longest time within [from, to) in which no server of
// service owned h. intervals must be sorted by start.
func LongestGap(intervals []Interval, service string, h key.Hash, from, to time.Time) time.Duration {
	var longest time.Duration
	covered := from
	for _, interval := range intervals {
		if interval.Service != service || !interval.Range.Contains(h) || !interval.From.Before(to) {
			continue
		}
		longest = max(longest, interval.From.Sub(covered))
		if interval.Until.After(covered) {
			covered = interval.Until
		}
	}
	return max(longest, to.Sub(covered))
}

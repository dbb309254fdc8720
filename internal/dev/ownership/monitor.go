package ownership

import (
	"sort"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// maxEnded bounds the ended intervals and the overlaps that are kept.
const maxEnded = 200_000

// Monitor keeps the ownership that each server reports. Times are of the
// process's own clock; each server translates the expiries of its grants.
type Monitor struct {
	mu       sync.Mutex
	current  map[rangeOwner][]Interval
	ended    []Interval
	overlaps []Overlap
	// reported keeps an overlap that lasts over many renewals from being counted again.
	reported map[overlapKey]bool
	dropped  int
}

// NewMonitor returns a monitor of no servers.
func NewMonitor() *Monitor {
	return &Monitor{current: map[rangeOwner][]Interval{}, reported: map[overlapKey]bool{}}
}

// Set replaces what server owns under shard from now until the given time. No
// ranges, or a time that has passed, end its ownership.
func (m *Monitor) Set(shard key.ShardID, server string, ranges []key.Range, now, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	who := rangeOwner{service: shard.Service, shard: shard.Index, server: server}
	before := m.current[who]
	next := make([]Interval, 0, len(ranges))
	if now.Before(until) {
		for _, r := range ranges {
			next = append(next, keepStart(before, Interval{
				Service: shard.Service, Server: server, Range: r, From: now, Until: until}, now))
		}
	}
	m.finish(before, next, now)
	m.current[who] = next
	m.findOverlaps(who, next, now)
}

// keepStart keeps the start of an interval that is renewed before it ended.
func keepStart(before []Interval, next Interval, now time.Time) Interval {
	for i := range before {
		if before[i].Range == next.Range && before[i].activeAt(now) {
			next.From = before[i].From
		}
	}
	return next
}

// finish moves the intervals that next does not continue to the past.
func (m *Monitor) finish(before, next []Interval, now time.Time) {
	for _, old := range before {
		if hasStart(next, old) {
			continue
		}
		if now.Before(old.Until) {
			old.Until = now
		}
		if len(m.ended) >= maxEnded {
			m.dropped++
			continue
		}
		m.ended = append(m.ended, old)
	}
}

func hasStart(next []Interval, old Interval) bool {
	for _, interval := range next {
		if interval.Range == old.Range && interval.From.Equal(old.From) {
			return true
		}
	}
	return false
}

// findOverlaps looks for servers that own a part of the intervals at this moment.
// Two overlapping intervals are always found when the later one starts.
func (m *Monitor) findOverlaps(who rangeOwner, intervals []Interval, now time.Time) {
	for other, theirs := range m.current {
		if other.service != who.service || other.server == who.server {
			continue
		}
		for i := range theirs {
			if theirs[i].activeAt(now) {
				m.addOverlaps(theirs[i], intervals, now)
			}
		}
	}
}

func (m *Monitor) addOverlaps(theirs Interval, intervals []Interval, now time.Time) {
	for _, interval := range intervals {
		shared, some := intersect(theirs.Range, interval.Range)
		if !some {
			continue
		}
		which := overlapKey{interval.Service, shared, min(theirs.Server, interval.Server), max(theirs.Server, interval.Server)}
		if m.reported[which] || len(m.overlaps) >= maxEnded {
			continue
		}
		m.reported[which] = true
		m.overlaps = append(m.overlaps, Overlap{Service: interval.Service, Range: shared,
			First: theirs.Server, Second: interval.Server, At: now})
	}
}

// Owner returns the server that owns h of service at now, or "".
func (m *Monitor) Owner(service string, h key.Hash, now time.Time) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for who, intervals := range m.current {
		for i := range intervals {
			if who.service == service && intervals[i].Range.Contains(h) && intervals[i].activeAt(now) {
				return who.server
			}
		}
	}
	return ""
}

// Overlaps returns every range that had two owners at a time.
func (m *Monitor) Overlaps() []Overlap {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Overlap{}, m.overlaps...)
}

// Intervals returns all intervals, ordered by start. Dropped counts those that did not fit.
func (m *Monitor) Intervals() (intervals []Interval, dropped int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	intervals = append(intervals, m.ended...)
	for _, current := range m.current {
		intervals = append(intervals, current...)
	}
	sort.Slice(intervals, func(i, j int) bool { return intervals[i].From.Before(intervals[j].From) })
	return intervals, m.dropped
}

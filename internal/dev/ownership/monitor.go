package ownership

import (
	"sort"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// maxPast bounds the ended intervals and the overlaps that are kept.
const maxPast = 200_000

// Monitor keeps the ownership that each server reports. Times are of the
// process's own clock; each server translates the expiries of its grants.
type Monitor struct {
	mu       sync.Mutex
	current  map[owner][]Interval
	past     []Interval
	overlaps []Overlap
	// found keeps an overlap that lasts over many renewals from being counted again.
	found   map[pair]bool
	dropped int
}

// NewMonitor returns a monitor of no servers.
func NewMonitor() *Monitor {
	return &Monitor{current: map[owner][]Interval{}, found: map[pair]bool{}}
}

// Set replaces what server owns under shard from now until the given time. No
// ranges, or a time that has passed, end its ownership.
func (m *Monitor) Set(shard key.ShardID, server string, ranges []key.Range, now, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	who := owner{service: shard.Service, shard: shard.Index, server: server}
	before := m.current[who]
	next := make([]Interval, 0, len(ranges))
	if now.Before(until) {
		for _, r := range ranges {
			next = append(next, continued(before, Interval{
				Service: shard.Service, Server: server, Range: r, From: now, Until: until}, now))
		}
	}
	m.end(before, next, now)
	m.current[who] = next
	m.compare(who, next, now)
}

// continued keeps the start of an interval that is renewed before it ended.
func continued(before []Interval, next Interval, now time.Time) Interval {
	for i := range before {
		if before[i].Range == next.Range && before[i].coversAt(now) {
			next.From = before[i].From
		}
	}
	return next
}

// end moves the intervals that next does not continue to the past.
func (m *Monitor) end(before, next []Interval, now time.Time) {
	for _, old := range before {
		if hasStart(next, old) {
			continue
		}
		if now.Before(old.Until) {
			old.Until = now
		}
		if len(m.past) >= maxPast {
			m.dropped++
			continue
		}
		m.past = append(m.past, old)
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

// compare looks for servers that own a part of the intervals at this moment.
// Two overlapping intervals are always found when the later one starts.
func (m *Monitor) compare(who owner, intervals []Interval, now time.Time) {
	for other, theirs := range m.current {
		if other.service != who.service || other.server == who.server {
			continue
		}
		for i := range theirs {
			if theirs[i].coversAt(now) {
				m.compareOne(theirs[i], intervals, now)
			}
		}
	}
}

func (m *Monitor) compareOne(theirs Interval, intervals []Interval, now time.Time) {
	for _, interval := range intervals {
		shared, some := common(theirs.Range, interval.Range)
		if !some {
			continue
		}
		which := pair{interval.Service, shared, min(theirs.Server, interval.Server), max(theirs.Server, interval.Server)}
		if m.found[which] || len(m.overlaps) >= maxPast {
			continue
		}
		m.found[which] = true
		m.overlaps = append(m.overlaps, Overlap{Service: interval.Service, Range: shared,
			First: theirs.Server, Second: interval.Server, At: now})
	}
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
	intervals = append(intervals, m.past...)
	for _, current := range m.current {
		intervals = append(intervals, current...)
	}
	sort.Slice(intervals, func(i, j int) bool { return intervals[i].From.Before(intervals[j].From) })
	return intervals, m.dropped
}

package ownership

import (
	"sort"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// maxEnded bounds the number of ended intervals and of overlaps kept in memory.
const maxEnded = 200_000

// Monitor collects the ownership that each server reports. All times are of the
// process's clock; each server translates the expiries of its grants to it.
type Monitor struct {
	mu       sync.Mutex
	current  map[rangeOwner][]Interval
	ended    []Interval
	overlaps []Overlap
	// reported holds the overlaps already found, so that renewals do not count them again.
	reported map[overlapKey]bool
	dropped  int
}

// NewMonitor returns a monitor that knows no servers.
func NewMonitor() *Monitor {
	return &Monitor{current: map[rangeOwner][]Interval{}, reported: map[overlapKey]bool{}}
}

// Set replaces the ranges of shard that server owns from now until the given
// time. Without ranges, or with a time in the past, the ownership ends.
func (m *Monitor) Set(shard key.ShardID, server string, ranges []key.Range, now, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	owner := rangeOwner{service: shard.Service, shard: shard.Index, server: server}
	before := m.current[owner]
	next := make([]Interval, 0, len(ranges))
	if now.Before(until) {
		for _, r := range ranges {
			next = append(next, keepStart(before, Interval{
				Service: shard.Service, Server: server, Range: r, From: now, Until: until}, now))
		}
	}
	m.finish(before, next, now)
	m.current[owner] = next
	m.findOverlaps(owner, next, now)
}

// keepStart returns next with the start of the interval that it renews, if that has not ended.
func keepStart(before []Interval, next Interval, now time.Time) Interval {
	for i := range before {
		if before[i].Range == next.Range && before[i].activeAt(now) {
			next.From = before[i].From
		}
	}
	return next
}

// finish moves the intervals that next does not renew to the ended ones.
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

// findOverlaps looks for other servers that own a part of the intervals at now.
// This finds each overlap: it runs when the later of the two intervals starts.
func (m *Monitor) findOverlaps(owner rangeOwner, intervals []Interval, now time.Time) {
	for id, others := range m.current {
		if id.service != owner.service || id.server == owner.server {
			continue
		}
		for i := range others {
			if others[i].activeAt(now) {
				m.addOverlaps(others[i], intervals, now)
			}
		}
	}
}

func (m *Monitor) addOverlaps(other Interval, intervals []Interval, now time.Time) {
	for _, interval := range intervals {
		shared, overlap := intersect(other.Range, interval.Range)
		if !overlap {
			continue
		}
		id := overlapKey{interval.Service, shared, min(other.Server, interval.Server), max(other.Server, interval.Server)}
		if m.reported[id] || len(m.overlaps) >= maxEnded {
			continue
		}
		m.reported[id] = true
		m.overlaps = append(m.overlaps, Overlap{Service: interval.Service, Range: shared,
			First: other.Server, Second: interval.Server, At: now})
	}
}

// Owner returns the server that owns h of service at now, or "".
func (m *Monitor) Owner(service string, h key.Hash, now time.Time) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for owner, intervals := range m.current {
		for i := range intervals {
			if owner.service == service && intervals[i].Range.Contains(h) && intervals[i].activeAt(now) {
				return owner.server
			}
		}
	}
	return ""
}

// Overlaps returns every range that had two owners at the same time.
func (m *Monitor) Overlaps() []Overlap {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Overlap{}, m.overlaps...)
}

// Intervals returns all intervals, ordered by start. dropped counts the ended ones above the limit.
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

package fleet

import (
	"maps"
	"slices"
)

const (
	// minRelativeTime and maxRelativeTime bound the percentages that are kept.
	minRelativeTime, maxRelativeTime = 10, 1000
	// maxRelativeTimes bounds the entries of all services, about 30 bytes each when stored.
	maxRelativeTimes = 2000
	// relativeTimeTolerance is the change in percent from which on a time is a new one.
	relativeTimeTolerance = 15
)

// RelativeTimes holds the service times of servers in percent of the average of their service,
// by service and server name.
type RelativeTimes map[string]map[string]int

// Of returns the service time of a server relative to the average, or 0 if it is unknown.
func (r RelativeTimes) Of(service, server string) float64 {
	return float64(r[service][server]) / 100
}

// Bounded returns the entries with sensible values, of which there are at most maxRelativeTimes.
// Another program may have written others.
func (r RelativeTimes) Bounded() RelativeTimes {
	out := RelativeTimes{}
	count := 0
	for _, service := range slices.Sorted(maps.Keys(r)) {
		for _, server := range slices.Sorted(maps.Keys(r[service])) {
			percent := r[service][server]
			if percent < minRelativeTime || percent > maxRelativeTime {
				continue
			}
			if count++; count > maxRelativeTimes {
				return out
			}
			if out[service] == nil {
				out[service] = map[string]int{}
			}
			out[service][server] = percent
		}
	}
	return out
}

// Changes returns how many entries are new or differ clearly from known ones.
func (r RelativeTimes) Changes(known RelativeTimes) int {
	n := 0
	for service, servers := range r {
		for server, percent := range servers {
			before := known[service][server]
			if difference := percent - before; difference > relativeTimeTolerance || -difference > relativeTimeTolerance {
				n++
			}
		}
	}
	return n
}

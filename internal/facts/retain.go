package facts

import (
	"sort"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// RetainMissing returns the listed servers together with those of the last listing
// that are missing, whose entries may have expired during a store outage. It drops
// a missing server if its address now belongs to a listed one.
func RetainMissing(last, listed []fleet.Server) []fleet.Server {
	found := make(map[string]bool, len(listed))
	addresses := make(map[fleet.Address]bool, len(listed))
	for _, s := range listed {
		found[s.Name] = true
		addresses[s.Address] = true
	}
	out := append([]fleet.Server(nil), listed...)
	for _, s := range last {
		if !found[s.Name] && !addresses[s.Address] {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

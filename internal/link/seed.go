package link

import (
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// seed is the facts that an instance had when it told the holder what it knows. The holder
// continues from them.
type seed struct {
	snapshot *facts.Snapshot
	known    *linkpb.Known
}

// servers returns the servers apart from those of the given buckets, ordered by name. None is
// cold: the holder sends all cold servers.
func (s *seed) servers(buckets []uint32) []fleet.Server {
	out := make([]fleet.Server, 0, len(s.snapshot.Servers))
	differs := partsAt(buckets, len(s.known.Listing))
	for _, server := range s.snapshot.Servers {
		if !differs[facts.ListingBucket(server.Name, len(s.known.Listing))] {
			server.ColdUntil = time.Time{}
			out = append(out, server)
		}
	}
	if !slices.IsSortedFunc(out, compareNames) {
		slices.SortFunc(out, compareNames)
	}
	return out
}

// ownedRanges returns the ranges apart from those of the given segments, together with the
// ranges received for these.
func (s *seed) ownedRanges(segments []uint32, received map[string][]owners.OwnedRange) map[string][]owners.OwnedRange {
	out := map[string][]owners.OwnedRange{}
	differs := partsAt(segments, len(s.known.Owners))
	for service, ranges := range s.snapshot.OwnedRanges {
		for _, r := range facts.SplitRanges(ranges, len(s.known.Owners)) {
			if !differs[facts.OwnersSegment(r, len(s.known.Owners))] {
				out[service] = append(out[service], r)
			}
		}
	}
	for service, ranges := range received {
		out[service] = append(out[service], ranges...)
	}
	for service, ranges := range out {
		slices.SortFunc(ranges, func(a, b owners.OwnedRange) int { return a.From - b.From })
		out[service] = facts.MergeRanges(ranges)
	}
	return out
}

// partsAt is the inverse of indexes for the given number of parts. It ignores indexes beyond.
func partsAt(indexes []uint32, parts int) []bool {
	out := make([]bool, parts)
	for _, i := range indexes {
		if uint64(i) < uint64(parts) {
			out[i] = true
		}
	}
	return out
}

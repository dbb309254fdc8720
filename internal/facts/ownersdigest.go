package facts

import "peridotmoor.org/peridotmoor/internal/owners"

// OwnersDigest holds a digest of each segment of the keys of all services. Equal digests of
// a segment mean the same owners of its keys, however the keys are divided into ranges.
type OwnersDigest []uint64

// NewOwnersDigest returns the digest of the owners, divided into the given number of segments,
// for which ValidPartitions holds.
func NewOwnersDigest(owned map[string][]owners.OwnedRange, segments int) OwnersDigest {
	d := make(OwnersDigest, segments)
	var h hasher
	for service, ranges := range owned {
		for _, r := range SplitRanges(ranges, segments) {
			h.text(service)
			h.number(int64(r.From))
			h.number(int64(r.To))
			h.text(r.Owner)
			h.flag(r.Held)
			d[OwnersSegment(r, segments)] += h.sum()
		}
	}
	return d
}

// OwnersSegment returns the segment of a range that SplitRanges has returned.
func OwnersSegment(r owners.OwnedRange, segments int) int {
	return r.From / (owners.NumKeys / segments)
}

// SplitRanges returns the ranges, ordered by key, with neighbours of the same owner and state
// merged and divided at the bounds of segments.
func SplitRanges(ranges []owners.OwnedRange, segments int) []owners.OwnedRange {
	size := owners.NumKeys / segments
	out := make([]owners.OwnedRange, 0, len(ranges)+segments)
	for _, r := range MergeRanges(ranges) {
		for r.From <= r.To {
			piece := r
			piece.To = min(r.To, (r.From/size+1)*size-1)
			out = append(out, piece)
			r.From = piece.To + 1
		}
	}
	return out
}

// MergeRanges returns the ranges, ordered by key, with neighbours of the same owner and state
// merged.
func MergeRanges(ranges []owners.OwnedRange) []owners.OwnedRange {
	out := make([]owners.OwnedRange, 0, len(ranges))
	for _, r := range ranges {
		if n := len(out); n > 0 && out[n-1].To+1 == r.From && out[n-1].Owner == r.Owner && out[n-1].Held == r.Held {
			out[n-1].To = r.To
			continue
		}
		out = append(out, r)
	}
	return out
}

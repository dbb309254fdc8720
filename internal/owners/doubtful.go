package owners

import (
	"maps"
	"slices"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Doubtful returns the record as that of a holder which may not have been the last one: other
// servers may hold any of its ranges until the grants of earlier holders have expired. The
// previous owners are asked to release under the first fence of the epoch, which they cannot
// have seen a higher one than.
func (r Record) Doubtful() Record {
	out := r
	out.Fleet, out.InheritedGrantsPending, out.RangesLost, out.Yielded = nil, true, true, false
	out.Services = maps.Clone(r.Services)
	for name, ranges := range out.Services {
		ranges = slices.Clone(ranges)
		for i := range ranges {
			doubted := &ranges[i]
			if doubted.Owner == "" {
				continue
			}
			if doubted.Previous == "" {
				doubted.Previous, doubted.PreviousStartMS = doubted.Owner, doubted.StartMS
			}
			doubted.PreviousFence = r.Epoch << fenceBits
			doubted.PreviousUnanswered, doubted.PreviousAmbiguous = true, true
		}
		out.Services[name] = ranges
	}
	return out
}

// ToldRecord returns the record that matches the ranges which a holder of the epoch has
// published. incarnationOf returns the incarnation of a server, as far as it is known.
func ToldRecord(owned map[string][]OwnedRange, epoch int64, incarnationOf func(name string) fleet.Incarnation) Record {
	record := Record{Epoch: epoch, Services: map[string][]RecordRange{}}
	for service, ranges := range owned {
		for _, r := range ranges {
			owner := incarnationOf(r.Owner)
			record.Services[service] = append(record.Services[service], RecordRange{From: r.From, To: r.To, Owner: r.Owner, StartMS: owner.StartMS})
		}
	}
	return record
}

// IsComplete reports whether the ranges of each service contain all keys.
func (r Record) IsComplete() bool {
	for _, ranges := range r.Services {
		next := 0
		for _, recorded := range ranges {
			if recorded.From != next || recorded.To < recorded.From {
				return false
			}
			next = recorded.To + 1
		}
		if next != NumKeys {
			return false
		}
	}
	return true
}

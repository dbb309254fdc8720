package owners

import "sort"

// ChangedRanges returns the ranges of next that are not in old. ApplyChanges of the
// result to old returns next, provided that both cover the same keys.
func ChangedRanges(old, next []OwnedRange) []OwnedRange {
	known := make(map[OwnedRange]bool, len(old))
	for _, r := range old {
		known[r] = true
	}
	var out []OwnedRange
	for _, r := range next {
		if !known[r] {
			out = append(out, r)
		}
	}
	return out
}

// ApplyChanges returns the ranges with the changed ones in place of those that they
// overlap, ordered by key. Both arguments must be ordered by key and are not modified.
func ApplyChanges(ranges, changed []OwnedRange) []OwnedRange {
	out := append([]OwnedRange(nil), changed...)
	for _, r := range ranges {
		first := sort.Search(len(changed), func(i int) bool { return changed[i].To >= r.From })
		for _, c := range changed[first:] {
			if c.From > r.To {
				break
			}
			if c.From > r.From {
				uncovered := r
				uncovered.To = c.From - 1
				out = append(out, uncovered)
			}
			r.From = c.To + 1
		}
		if r.From <= r.To {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].From < out[j].From })
	return out
}

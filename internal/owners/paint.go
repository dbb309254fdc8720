package owners

import "sort"

// ChangedRanges returns the ranges of next that are not in old. Painted over old they
// make next, if both cover the same keys.
func ChangedRanges(old, next []OwnedRange) []OwnedRange {
	known := make(map[OwnedRange]bool, len(old))
	for _, v := range old {
		known[v] = true
	}
	var out []OwnedRange
	for _, v := range next {
		if !known[v] {
			out = append(out, v)
		}
	}
	return out
}

// ApplyChanges returns the ranges with the changed ones laid over them, in the order of
// their keys. Both lists are in that order and stay as they are.
func ApplyChanges(ranges, changed []OwnedRange) []OwnedRange {
	out := append([]OwnedRange(nil), changed...)
	for _, v := range ranges {
		first := sort.Search(len(changed), func(i int) bool { return changed[i].To >= v.From })
		for _, c := range changed[first:] {
			if c.From > v.To {
				break
			}
			if c.From > v.From {
				rest := v
				rest.To = c.From - 1
				out = append(out, rest)
			}
			v.From = c.To + 1
		}
		if v.From <= v.To {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].From < out[j].From })
	return out
}

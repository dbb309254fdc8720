package grant

import (
	"slices"

	"peridotmoor.org/peridotmoor/internal/key"
)

// covers reports whether the union of list contains bounds. The list must be
// ordered by start.
func covers(list []key.Range, bounds key.Range) bool {
	next := bounds.Start
	for _, r := range list[firstEndingAfter(list, next):] {
		if r.Start > next {
			return false
		}
		if r.Last() >= bounds.Last() {
			return true
		}
		next = r.End
	}
	return false
}

// overlaps reports whether a range of list shares a hash with bounds. The list
// must be ordered by start.
func overlaps(list []key.Range, bounds key.Range) bool {
	i := firstEndingAfter(list, bounds.Start)
	return i < len(list) && list[i].Start <= bounds.Last()
}

// firstEndingAfter returns the index of the first range whose last hash is at or
// above h.
func firstEndingAfter(list []key.Range, h key.Hash) int {
	i, _ := slices.BinarySearchFunc(list, h, func(r key.Range, h key.Hash) int {
		if r.Last() < h {
			return -1
		}
		return 1
	})
	return i
}

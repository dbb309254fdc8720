package quorum

import (
	"maps"
	"slices"
)

// Fleet is the set of instances, by name, of which a holder and its successor count shares.
// It is ordered and immutable. A restarted instance keeps its name: at most one process of
// an instance runs at a time.
type Fleet []string

// NewFleet returns the fleet of the given instances.
func NewFleet(names map[string]bool) Fleet {
	return slices.Sorted(maps.Keys(names))
}

// Equal reports whether both fleets have the same instances.
func (f Fleet) Equal(other Fleet) bool {
	return slices.Equal(f, other)
}

// Count returns how many instances of the fleet are among the given ones.
func (f Fleet) Count(names map[string]bool) int {
	n := 0
	for _, name := range f {
		if names[name] {
			n++
		}
	}
	return n
}

// share returns the share of the fleet that is among the given instances, or 0 for a
// fleet without instances.
func (f Fleet) share(names map[string]bool) float64 {
	if len(f) == 0 {
		return 0
	}
	return float64(f.Count(names)) / float64(len(f))
}

// IsOrdered reports whether the fleet names each instance once, in order, as NewFleet does.
func (f Fleet) IsOrdered() bool {
	for i, name := range f {
		if name == "" || i > 0 && name <= f[i-1] {
			return false
		}
	}
	return true
}

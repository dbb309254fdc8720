package shard

import (
	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/key"
)

// apply puts a committed assignment into force. before is the assignment that the plan
// started from: where the owner of a range has been replaced since, the replacement
// stays.
func (c *coordinator) apply(before, next assign.Assignment) {
	planned := make(map[key.Range]string, len(before.Ranges))
	for _, r := range before.Ranges {
		planned[r.Bounds] = r.Owner
	}
	ranges := make([]*managedRange, 0, len(next.Ranges))
	current := c.ranges
	for i := 0; i < len(next.Ranges); {
		numCurrent, numNext := matchRanges(current, next.Ranges[i:])
		ranges = append(ranges, c.rebuildRanges(current[:numCurrent], next.Ranges[i:i+numNext], planned)...)
		current = current[numCurrent:]
		i += numNext
	}
	c.ranges = ranges
	c.grantRangesDirty = true
	c.viewDirty = true
}

// matchRanges returns how many of the current ranges and how many of the next ones,
// counted from the start, cover the same hashes. Without current ranges, as in a first
// plan, it returns one of the next ranges.
func matchRanges(current []*managedRange, next []assign.Range) (numCurrent, numNext int) {
	if len(current) == 0 {
		return 0, 1
	}
	numCurrent, numNext = 1, 1
	for {
		a, b := current[numCurrent-1].bounds.Last(), next[numNext-1].Bounds.Last()
		switch {
		case a == b:
			return numCurrent, numNext
		case a < b:
			numCurrent++
		default:
			numNext++
		}
	}
}

// rebuildRanges returns the managed ranges for assigned ranges that cover the same
// hashes as old. Ranges that are to be merged stay as they are while one of them is
// being moved.
func (c *coordinator) rebuildRanges(old []*managedRange, ranges []assign.Range, planned map[key.Range]string) []*managedRange {
	if len(old) > 1 && !mergeable(old) {
		return old
	}
	rebuilt := make([]*managedRange, len(ranges))
	for i, r := range ranges {
		switch {
		case len(old) == 0:
			rebuilt[i] = newManagedRange(r.Bounds)
			rebuilt[i].owner, rebuilt[i].desiredOwner = r.Owner, r.Owner
		case len(old) == 1 && len(ranges) == 1:
			rebuilt[i] = old[0]
		default:
			rebuilt[i] = deriveRange(old, r.Bounds, len(ranges))
			rebuilt[i].derivedInGeneration = c.generation() + 1
		}
		if len(old) > 0 && planned[old[0].bounds] == old[0].desiredOwner {
			rebuilt[i].desiredOwner = r.Owner
		}
		rebuilt[i].setCommitted(r)
	}
	return rebuilt
}

// mergeable reports whether the ranges have the same owner and none is being moved.
func mergeable(ranges []*managedRange) bool {
	for _, r := range ranges {
		if r.phase != serving || r.owner != ranges[0].owner || r.desiredOwner != ranges[0].desiredOwner {
			return false
		}
	}
	return true
}

// deriveRange returns a range with new bounds that takes over the owner and the
// requests in flight of the ranges that it replaces.
func deriveRange(old []*managedRange, bounds key.Range, parts int) *managedRange {
	next := newManagedRange(bounds)
	first := old[0]
	next.owner, next.desiredOwner, next.previousOwner = first.owner, first.desiredOwner, first.previousOwner
	next.phase, next.granted = first.phase, first.granted
	next.blockedInGeneration, next.blockedAt = first.blockedInGeneration, first.blockedAt
	next.moveRetryAt, next.postponements = first.moveRetryAt, first.postponements
	for _, r := range old {
		next.earlierStates = append(next.earlierStates, r.state)
		next.earlierStates = append(next.earlierStates, r.earlierStates...)
		next.rate += r.rate / float64(parts)
		r.stopWatching()
	}
	return next
}

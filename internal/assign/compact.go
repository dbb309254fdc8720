package assign

// maxCompactionsPerPlan bounds how many joins one plan makes.
const maxCompactionsPerPlan = 4

// compact joins light adjacent ranges while the shard has more than its cap.
// Each hot key leaves up to two extra ranges behind.
func (d *draft) compact() {
	for range maxCompactionsPerPlan {
		if len(d.ranges) <= d.softRangeLimit() {
			return
		}
		i := d.lightestPair()
		if i == none {
			return
		}
		if d.canMergeWithNext(i) {
			d.merge(i, ReasonTooManyRanges)
			continue
		}
		if d.movesLeft == 0 {
			return
		}
		d.moveLighter(i)
	}
}

// lightestPair returns the first index of the adjacent ranges with the least load
// that are not hot keys, or none. Pairs of one owner go first.
func (d *draft) lightestPair() int {
	best, bestLoad, bestSameOwner := none, 0.0, false
	for i := 0; i+1 < len(d.ranges); i++ {
		a, b := d.ranges[i], d.ranges[i+1]
		if a.Bounds.IsSingle() || b.Bounds.IsSingle() || !d.canMerge(i) || !d.canMerge(i+1) {
			continue
		}
		load, sameOwner := a.load+b.load, a.owner == b.owner
		if load >= heavyRangeShare*d.meanLoad {
			continue
		}
		if best == none || (sameOwner && !bestSameOwner) || (sameOwner == bestSameOwner && load < bestLoad) {
			best, bestLoad, bestSameOwner = i, load, sameOwner
		}
	}
	return best
}

// moveLighter moves the lighter range of a pair to the other's owner.
func (d *draft) moveLighter(i int) {
	from, to := i, i+1
	if d.ranges[i+1].load < d.ranges[i].load {
		from, to = i+1, i
	}
	d.move(from, d.ranges[to].owner, ReasonTooManyRanges, false)
}

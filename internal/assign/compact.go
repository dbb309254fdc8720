package assign

// maxCompactionsPerPlan limits how many pairs of ranges one plan merges, or
// moves to one owner to be merged later.
const maxCompactionsPerPlan = 4

// compact merges light adjacent ranges while the shard has more ranges than its
// soft limit. Each hot key leaves up to two extra ranges behind.
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

// lightestPair returns the index of the first of the two adjacent ranges with
// the least load, or none. Pairs with one owner come first. The ranges of hot
// keys and pairs that are as heavy as a range to be split are left out.
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

// moveLighter moves the lighter of ranges i and i+1 to the other's owner.
func (d *draft) moveLighter(i int) {
	from, to := i, i+1
	if d.ranges[i+1].load < d.ranges[i].load {
		from, to = i+1, i
	}
	d.move(from, d.ranges[to].owner, ReasonTooManyRanges, false)
}

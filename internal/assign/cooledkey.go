package assign

import (
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// mergeCooledKeys merges the range of a single key with a neighbour once the
// rate of the key has stayed below half of the hot-key threshold for the
// cooldown. When no neighbour has the same owner, the range first moves to a
// neighbour's owner.
func (p *Planner) mergeCooledKeys(d *draft) {
	p.updateCooldowns(d)
	for i := 0; i < len(d.ranges); i++ {
		r := d.ranges[i]
		since, cooled := p.cooledSince[r.Bounds.Start]
		if !cooled || !r.Bounds.IsSingle() || r.moving {
			continue
		}
		if d.in.Now.Sub(since) < d.in.Settings.HotKeyCooldown {
			continue
		}
		if d.mergeOrMove(i, ReasonKeyCooled) {
			i--
		}
	}
}

// updateCooldowns records since when each single-key range has been below half
// of the hot-key threshold.
func (p *Planner) updateCooldowns(d *draft) {
	limit := d.hotKeyThreshold() / 2
	present := map[key.Hash]time.Time{}
	for _, r := range d.ranges {
		if !r.Bounds.IsSingle() || r.load-d.baseLoad >= limit {
			continue
		}
		since, known := p.cooledSince[r.Bounds.Start]
		if !known {
			since = d.in.Now
		}
		present[r.Bounds.Start] = since
	}
	p.cooledSince = present
}

// mergeOrMove merges range i with a neighbour of the same owner, or else moves
// it to a neighbour's owner within the move limit. It reports whether it merged.
func (d *draft) mergeOrMove(i int, reason Reason) bool {
	for _, first := range [2]int{i - 1, i} {
		if d.canMergeWithNext(first) {
			d.merge(first, reason)
			return true
		}
	}
	for _, n := range [2]int{i - 1, i + 1} {
		if d.movesLeft > 0 && n >= 0 && n < len(d.ranges) && d.canMerge(n) {
			d.move(i, d.ranges[n].owner, reason, false)
			return false
		}
	}
	return false
}

// canMerge reports whether range n may be merged with a neighbour.
func (d *draft) canMerge(n int) bool {
	return !d.ranges[n].moving && d.ownerUsable(d.ranges[n])
}

// canMergeWithNext reports whether ranges first and first+1 have the same owner
// and may be merged.
func (d *draft) canMergeWithNext(first int) bool {
	if first < 0 || first+1 >= len(d.ranges) {
		return false
	}
	a, b := d.ranges[first], d.ranges[first+1]
	return a.owner == b.owner && d.canMerge(first) && d.canMerge(first+1)
}

// merge replaces ranges first and first+1 by one range with the standbys of the
// heavier one.
func (d *draft) merge(first int, reason Reason) {
	a, b := d.ranges[first], d.ranges[first+1]
	merged := a
	if b.load > a.load {
		merged = b
	}
	merged.Bounds = key.Range{Start: a.Bounds.Start, End: b.Bounds.End}
	merged.load = a.load + b.load - d.baseLoad
	d.addToOwner(a, -1)
	d.addToOwner(b, -1)
	d.addToOwner(merged, 1)
	d.ranges = slices.Replace(d.ranges, first, first+2, merged)
	d.merges = append(d.merges, Merge{
		Parts:  []key.Range{a.Bounds, b.Bounds},
		Into:   merged.Bounds,
		Reason: reason,
	})
}

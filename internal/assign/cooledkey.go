package assign

import (
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// mergeCooledKeys joins the ranges of keys that have been below half of the
// threshold for the cooldown with a neighbour. When no neighbour has the same
// owner, the range moves to a neighbour's owner first.
func (p *Planner) mergeCooledKeys(d *draft) {
	p.noteCooled(d)
	for i := 0; i < len(d.ranges); i++ {
		r := d.ranges[i]
		since, cooled := p.cooled[r.Bounds.Start]
		if !cooled || !r.Bounds.IsSingle() || r.fixed {
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

// noteCooled starts and ends the cooldowns of the single-key ranges.
func (p *Planner) noteCooled(d *draft) {
	limit := d.hotThreshold() / 2
	present := map[key.Hash]time.Time{}
	for _, r := range d.ranges {
		if !r.Bounds.IsSingle() || r.load-d.base >= limit {
			continue
		}
		since, known := p.cooled[r.Bounds.Start]
		if !known {
			since = d.in.Now
		}
		present[r.Bounds.Start] = since
	}
	p.cooled = present
}

// mergeOrMove joins range i with a neighbour of the same owner, or else moves it
// to a neighbour's owner within the move limit. It reports whether it joined.
func (d *draft) mergeOrMove(i int, reason Reason) bool {
	for _, first := range [2]int{i - 1, i} {
		if d.mergeable(first) {
			d.merge(first, reason)
			return true
		}
	}
	for _, n := range [2]int{i - 1, i + 1} {
		if d.moveLimit > 0 && n >= 0 && n < len(d.ranges) && d.joinable(n) {
			d.move(i, d.ranges[n].owner, reason, false)
			return false
		}
	}
	return false
}

// joinable reports whether range n may be joined with a neighbour.
func (d *draft) joinable(n int) bool {
	return !d.ranges[n].fixed && d.ownerUsable(d.ranges[n])
}

// mergeable reports whether ranges first and first+1 have one owner and are not being moved.
func (d *draft) mergeable(first int) bool {
	if first < 0 || first+1 >= len(d.ranges) {
		return false
	}
	a, b := d.ranges[first], d.ranges[first+1]
	return a.owner == b.owner && d.joinable(first) && d.joinable(first+1)
}

// merge joins ranges first and first+1. The heavier one's standbys stay.
func (d *draft) merge(first int, reason Reason) {
	a, b := d.ranges[first], d.ranges[first+1]
	joined := a
	if b.load > a.load {
		joined = b
	}
	joined.Bounds = key.Range{Start: a.Bounds.Start, End: b.Bounds.End}
	joined.load = a.load + b.load - d.base
	d.countOwner(a, -1)
	d.countOwner(b, -1)
	d.countOwner(joined, 1)
	d.ranges = slices.Replace(d.ranges, first, first+2, joined)
	d.merges = append(d.merges, Merge{
		Parts:  []key.Range{a.Bounds, b.Bounds},
		Into:   joined.Bounds,
		Reason: reason,
	})
}

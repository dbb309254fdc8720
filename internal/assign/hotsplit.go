package assign

import (
	"slices"

	"peridotmoor.org/peridotmoor/internal/key"
)

// heavyRangeShare is the share of a server's mean load from which a range is
// halved. It is about the tolerated overload, so that moving one range can
// correct an overload.
const heavyRangeShare = 0.25

// maxHeavySplitsPerPlan limits how many ranges one plan halves: the load of the
// halves must be measured before further splits are useful.
const maxHeavySplitsPerPlan = 2

// hotKeyThreshold returns the request rate from which a key gets its own range.
func (d *draft) hotKeyThreshold() float64 {
	return max(d.in.Settings.HotKeyShare*d.meanLoad, d.in.Settings.HotKeyMinRate)
}

// softRangeLimit returns the number of ranges above which adjacent ones are
// merged and heavy ones are no longer split. Hot keys may exceed it temporarily.
func (d *draft) softRangeLimit() int {
	return 2 * max(d.in.Settings.RangesPerServer, 1) * len(d.usable)
}

// splitHotKeys gives each hot key its own range, until the shard has twice its
// soft limit of ranges.
func (d *draft) splitHotKeys() {
	threshold := d.hotKeyThreshold()
	for _, hot := range d.in.HotKeys {
		if hot.Rate < threshold || len(d.ranges) > 2*d.softRangeLimit() {
			continue
		}
		i := d.findRange(hot.Hash)
		if i == none || d.ranges[i].moving || d.ranges[i].Bounds.IsSingle() {
			continue
		}
		d.isolateHotKey(i, hot)
	}
}

// isolateHotKey splits range i so that hot gets its own range, and divides the
// remaining load among the other parts.
func (d *draft) isolateHotKey(i int, hot HotKey) {
	total := d.ranges[i].load
	parts := partsAround(d.ranges[i].Bounds, hot.Hash)
	d.split(i, parts, ReasonHotKey)
	rate := min(hot.Rate, total)
	for n := range parts {
		load := (total - rate) / float64(max(len(parts)-1, 1))
		if parts[n].IsSingle() && parts[n].Start == hot.Hash {
			load = rate
		}
		d.setLoad(i+n, load)
	}
}

// setLoad changes the load of range i and of its owner.
func (d *draft) setLoad(i int, load float64) {
	if owner := d.ranges[i].owner; owner != none {
		d.servers[owner].load += load - d.ranges[i].load
	}
	d.ranges[i].load = load
}

// partsAround splits bounds into the hash h and the parts before and after it.
func partsAround(bounds key.Range, h key.Hash) []key.Range {
	parts := make([]key.Range, 0, 3)
	if bounds.Start < h {
		parts = append(parts, key.Range{Start: bounds.Start, End: h})
	}
	parts = append(parts, key.Single(h))
	if h != bounds.Last() {
		parts = append(parts, key.Range{Start: h + 1, End: bounds.End})
	}
	return parts
}

// splitHeavyRanges halves ranges that are too heavy to be balanced by moves.
func (d *draft) splitHeavyRanges() {
	left := maxHeavySplitsPerPlan
	for i := 0; i < len(d.ranges) && left > 0; i++ {
		r := d.ranges[i]
		if r.moving || r.load < heavyRangeShare*d.meanLoad || len(d.ranges) >= d.softRangeLimit() {
			continue
		}
		if width := uint64(r.Bounds.Last() - r.Bounds.Start); width < 2 {
			continue
		}
		d.split(i, divide(r.Bounds, 2), ReasonHeavyRange)
		left--
		i++
	}
}

// split replaces range i by parts, each with an equal share of its load.
func (d *draft) split(i int, parts []key.Range, reason Reason) {
	old := d.ranges[i]
	d.addToOwner(old, -1)
	replacements := make([]draftRange, len(parts))
	for n, part := range parts {
		replacements[n] = old
		replacements[n].Bounds = part
		replacements[n].load = old.load / float64(len(parts))
		d.addToOwner(replacements[n], 1)
	}
	d.ranges = slices.Replace(d.ranges, i, i+1, replacements...)
	d.splits = append(d.splits, Split{Bounds: old.Bounds, Parts: parts, Reason: reason})
}

// findRange returns the index of the range that contains h, or none.
func (d *draft) findRange(h key.Hash) int {
	i, found := slices.BinarySearchFunc(d.ranges, h, func(r draftRange, h key.Hash) int {
		switch {
		case r.Bounds.Contains(h):
			return 0
		case r.Bounds.Start > h:
			return 1
		default:
			return -1
		}
	})
	if !found {
		return none
	}
	return i
}

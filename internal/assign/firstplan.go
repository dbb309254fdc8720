package assign

import (
	"math/bits"

	"peridotmoor.org/peridotmoor/internal/key"
)

// firstPlan divides the interval into equal ranges and assigns them round-robin
// to the usable servers, in an order that alternates between failure domains.
func (d *draft) firstPlan() Plan {
	order := d.interleaveDomains()
	count := len(order) * max(d.in.Settings.RangesPerServer, 1)
	for i, bounds := range divide(d.in.Interval, count) {
		owner := order[i%len(order)]
		r := draftRange{Range: Range{Bounds: bounds, Owner: d.servers[owner].Name}, owner: owner, load: d.baseLoad}
		d.ranges = append(d.ranges, r)
		d.addToOwner(r, 1)
		d.moves = append(d.moves, Move{Bounds: bounds, To: r.Owner, Reason: ReasonFirstPlan, Urgent: true})
	}
	d.assignStandbys()
	return d.plan()
}

// interleaveDomains lists the usable servers, one of each failure domain in
// turn.
func (d *draft) interleaveDomains() []int {
	var domains []string
	members := map[string][]int{}
	for _, i := range d.usable {
		name := d.servers[i].Domain
		if members[name] == nil {
			domains = append(domains, name)
		}
		members[name] = append(members[name], i)
	}
	order := make([]int, 0, len(d.usable))
	for len(order) < len(d.usable) {
		for _, name := range domains {
			if left := members[name]; len(left) > 0 {
				order = append(order, left[0])
				members[name] = left[1:]
			}
		}
	}
	return order
}

// divide splits interval into count parts of nearly equal width, or into fewer
// when the interval has fewer hashes.
func divide(interval key.Range, count int) []key.Range {
	width := uint64(interval.End - interval.Start)
	if width != 0 && uint64(count) > width {
		count = int(width)
	}
	parts := make([]key.Range, count)
	for i := range parts {
		parts[i] = key.Range{Start: boundary(interval, i, count), End: boundary(interval, i+1, count)}
	}
	return parts
}

// boundary returns start + width*i/count; a width of 0 stands for 2^64.
func boundary(interval key.Range, i, count int) key.Hash {
	if i == 0 {
		return interval.Start
	}
	if i == count {
		return interval.End
	}
	width := uint64(interval.End - interval.Start)
	high, low := bits.Mul64(width, uint64(i))
	if width == 0 {
		high, low = uint64(i), 0
	}
	quotient, _ := bits.Div64(high, low, uint64(count))
	return interval.Start + key.Hash(quotient)
}

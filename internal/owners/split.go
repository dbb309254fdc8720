package owners

import (
	"sort"
	"time"
)

// split splits r around the interval and returns the range that covers exactly the interval.
func (t *Table) split(service string, r *rangeState, cut Interval) *rangeState {
	if cut == r.Interval {
		return r
	}
	version := t.newPlanVersion()
	ranges := t.services[service]
	at := sort.Search(len(ranges), func(i int) bool { return ranges[i].To >= r.To })
	var parts []*rangeState
	var middle *rangeState
	for _, i := range []Interval{{r.From, cut.From - 1}, cut, {cut.To + 1, r.To}} {
		if i.Size() <= 0 {
			continue
		}
		part := *r
		part.Interval = i
		part.version = version
		part.orderInFlight = false
		if r.previous != nil {
			grant := *r.previous
			part.previous = &grant
		}
		parts = append(parts, &part)
		if i == cut {
			middle = &part
		}
	}
	t.services[service] = append(ranges[:at:at], append(parts, ranges[at+1:]...)...)
	return middle
}

// merge merges adjacent ranges of one owner that neither move nor are in cooldown.
// The merged range is granted with a new fence. The record need not be stored for
// it: the ranges in the record still have the same owner.
func (t *Table) merge(service string) {
	ranges := t.services[service]
	out := ranges[:0:0]
	for _, r := range ranges {
		if len(out) > 0 && t.mergeable(out[len(out)-1], r) {
			last := out[len(out)-1]
			t.version++
			last.To = r.To
			last.fence = t.nextFence()
			last.expiresBy = later(last.expiresBy, r.expiresBy)
			last.issued.validUntil = later(last.issued.validUntil, r.issued.validUntil)
			last.nextOrderAt = time.Time{}
			last.version = t.version
			continue
		}
		out = append(out, r)
	}
	t.services[service] = out
}

func (t *Table) mergeable(a, b *rangeState) bool {
	idle := func(r *rangeState) bool {
		return t.movable(r) && !r.orderInFlight && r.previous == nil && !t.now.Before(r.unansweredUntil)
	}
	return a.owner == b.owner && idle(a) && idle(b)
}

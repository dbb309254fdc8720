package owners

import (
	"sort"
	"time"
)

// split cuts the interval out of s and returns the span that covers exactly it.
func (t *Table) split(service string, s *rangeState, cut Interval) *rangeState {
	if cut == s.Interval {
		return s
	}
	version := t.newPlanVersion()
	spans := t.services[service]
	at := sort.Search(len(spans), func(i int) bool { return spans[i].To >= s.To })
	var parts []*rangeState
	var middle *rangeState
	for _, i := range []Interval{{s.From, cut.From - 1}, cut, {cut.To + 1, s.To}} {
		if i.Size() <= 0 {
			continue
		}
		part := *s
		part.Interval = i
		part.version = version
		part.orderInFlight = false
		if s.previous != nil {
			hold := *s.previous
			part.previous = &hold
		}
		parts = append(parts, &part)
		if i == cut {
			middle = &part
		}
	}
	t.services[service] = append(spans[:at:at], append(parts, spans[at+1:]...)...)
	return middle
}

// merge joins neighbouring ranges of one owner that have rested. They are
// granted under a new fence; the stored record stays true.
func (t *Table) merge(service string) {
	spans := t.services[service]
	out := spans[:0:0]
	for _, s := range spans {
		if len(out) > 0 && t.mergeable(out[len(out)-1], s) {
			last := out[len(out)-1]
			t.version++
			last.To = s.To
			last.fence = t.nextFence()
			last.expiresBy = later(last.expiresBy, s.expiresBy)
			last.nextOrderAt = time.Time{}
			last.version = t.version
			continue
		}
		out = append(out, s)
	}
	t.services[service] = out
}

func (t *Table) mergeable(a, b *rangeState) bool {
	rested := func(s *rangeState) bool {
		return t.movable(s) && !s.orderInFlight && s.previous == nil && !t.now.Before(s.unansweredUntil)
	}
	return a.owner == b.owner && rested(a) && rested(b)
}

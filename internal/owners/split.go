package owners

import (
	"sort"
	"time"
)

// split cuts the interval out of s and returns the span that covers exactly it.
func (t *Table) split(service string, s *span, cut Interval) *span {
	if cut == s.Interval {
		return s
	}
	version := t.change()
	spans := t.services[service]
	at := sort.Search(len(spans), func(i int) bool { return spans[i].To >= s.To })
	var parts []*span
	var middle *span
	for _, i := range []Interval{{s.From, cut.From - 1}, cut, {cut.To + 1, s.To}} {
		if i.Size() <= 0 {
			continue
		}
		part := *s
		part.Interval = i
		part.version = version
		part.busy = false
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
		if len(out) > 0 && t.joinable(out[len(out)-1], s) {
			last := out[len(out)-1]
			t.version++
			last.To = s.To
			last.fence = t.nextFence()
			last.until = later(last.until, s.until)
			last.nextAt = time.Time{}
			last.version = t.version
			continue
		}
		out = append(out, s)
	}
	t.services[service] = out
}

func (t *Table) joinable(a, b *span) bool {
	rested := func(s *span) bool {
		return t.movable(s) && !s.busy && s.previous == nil && !t.now.Before(s.lateUntil)
	}
	return a.owner == b.owner && rested(a) && rested(b)
}

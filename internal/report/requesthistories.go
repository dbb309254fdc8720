package report

import (
	"iter"
	"slices"
)

// Histories returns the histories of all requests that arrived in the window, in order of
// arrival. A request without an ID has a single record: its refusal.
func (j *Journal) Histories(w Window) []*RequestHistory {
	var histories []*RequestHistory
	for h := range j.all() {
		if w.Contains(h.Start()) {
			histories = append(histories, h)
		}
	}
	slices.SortStableFunc(histories, func(a, b *RequestHistory) int { return a.Start().Compare(b.Start()) })
	return histories
}

func (j *Journal) all() iter.Seq[*RequestHistory] {
	return func(yield func(*RequestHistory) bool) {
		for _, id := range j.RequestIDs() {
			if !yield(j.HistoryOf(id)) {
				return
			}
		}
		for _, r := range j.withoutID {
			h := &RequestHistory{Records: []*Record{r}}
			h.add(r)
			if !yield(h) {
				return
			}
		}
	}
}

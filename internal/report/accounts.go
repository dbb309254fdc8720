package report

import (
	"iter"
	"slices"
)

// Histories returns the accounts of all requests that arrived in the window, in
// the order of their arrival. A request without an ID has one record, its refusal.
func (j *Journal) Histories(w Window) []*RequestHistory {
	var accounts []*RequestHistory
	for a := range j.all() {
		if w.Contains(a.Start()) {
			accounts = append(accounts, a)
		}
	}
	slices.SortStableFunc(accounts, func(a, b *RequestHistory) int { return a.Start().Compare(b.Start()) })
	return accounts
}

func (j *Journal) all() iter.Seq[*RequestHistory] {
	return func(yield func(*RequestHistory) bool) {
		for _, id := range j.RequestIDs() {
			if !yield(j.HistoryOf(id)) {
				return
			}
		}
		for _, r := range j.withoutID {
			a := &RequestHistory{Records: []*Record{r}}
			a.add(r)
			if !yield(a) {
				return
			}
		}
	}
}

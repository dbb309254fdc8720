package check

import (
	"sync"
	"time"
)

// Store is the name of the store among the subjects of impairments. The others are
// names of instances and IDs of backend servers.
const Store = "store"

// Freeze is the subject of the times in which an instance stood still.
func Freeze(instance string) string { return "freeze of " + instance }

// Impairments records when faults other than planned stops affected whom.
type Impairments struct {
	mu    sync.Mutex
	spans map[string][]*span
}

// NewImpairments returns a record without impairments.
func NewImpairments() *Impairments {
	return &Impairments{spans: map[string][]*span{}}
}

// Begin records that an impairment of the subjects begins, and returns the function
// that records its end.
func (i *Impairments) Begin(subjects ...string) (end func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := &span{from: time.Now()}
	for _, subject := range subjects {
		i.spans[subject] = append(i.spans[subject], s)
	}
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		s.until = time.Now()
	}
}

// any reports whether the subject was impaired at some time from from to until.
func (i *Impairments) any(subject string, from, until time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, s := range i.spans[subject] {
		if s.overlaps(from, until) {
			return true
		}
	}
	return false
}

// endedBefore reports whether an impairment of an instance or a server ended no earlier
// than slack before the given time.
func (i *Impairments) endedBefore(at time.Time, slack time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for subject, spans := range i.spans {
		for _, s := range spans {
			if subject != Store && !s.until.IsZero() && !s.until.After(at) && !s.until.Before(at.Add(-slack)) {
				return true
			}
		}
	}
	return false
}

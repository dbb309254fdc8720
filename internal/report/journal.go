package report

import (
	"cmp"
	"maps"
	"slices"

	"peridotmoor.org/peridotmoor/internal/events"
)

// Journal holds the records of all instances in the order of time.
type Journal struct {
	Records   []*Record
	byRequest map[string][]*Record
	byName    map[string]*Instance
	// anonymous are the refusals of requests without an ID.
	anonymous []*Record
	// BadLines are the lines that could not be read.
	BadLines []BadLine
}

// NewJournal joins records in any order. Records of the same time keep the order in
// which they were given.
func NewJournal(records []*Record, bad []BadLine) *Journal {
	j := &Journal{
		Records:   slices.Clone(records),
		byRequest: map[string][]*Record{},
		byName:    map[string]*Instance{},
		BadLines:  bad,
	}
	slices.SortStableFunc(j.Records, func(a, b *Record) int { return a.At.Compare(b.At) })
	for _, r := range j.Records {
		j.index(r)
	}
	for _, instance := range j.byName {
		instance.close()
	}
	return j
}

func (j *Journal) index(r *Record) {
	if id := r.Text(fieldRequestID); id != "" {
		j.byRequest[id] = append(j.byRequest[id], r)
	} else if r.Event == events.EntryRefused.Number {
		j.anonymous = append(j.anonymous, r)
	}
	instance := j.byName[r.Instance]
	if instance == nil {
		instance = &Instance{Name: r.Instance}
		j.byName[r.Instance] = instance
	}
	instance.add(r)
}

// Request returns the records of a request in the order of time.
func (j *Journal) Request(id string) []*Record {
	return j.byRequest[id]
}

// RequestIDs returns the IDs of all requests in their order.
func (j *Journal) RequestIDs() []string {
	return slices.Sorted(maps.Keys(j.byRequest))
}

// Instances returns the instances that wrote records, by name.
func (j *Journal) Instances() []*Instance {
	return slices.SortedFunc(maps.Values(j.byName), func(a, b *Instance) int { return cmp.Compare(a.Name, b.Name) })
}

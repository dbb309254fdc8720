package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"peridotmoor.org/peridotmoor/internal/events"
)

// Journal holds the records of all instances in chronological order.
type Journal struct {
	Records   []*Record
	byRequest map[string][]*Record
	byName    map[string]*Instance
	// mentioned are the instances that records name in addition to their writers.
	mentioned map[string]bool
	// withoutID are the refusals of requests without an ID.
	withoutID []*Record
	// BadLines are the lines that could not be read.
	BadLines []BadLine
}

// NewJournal merges records given in any order. Records of one instance with the same time
// keep the order in which they were given.
func NewJournal(records []*Record, bad []BadLine) *Journal {
	j := &Journal{
		Records:   slices.Clone(records),
		byRequest: map[string][]*Record{},
		byName:    map[string]*Instance{},
		mentioned: map[string]bool{},
		BadLines:  bad,
	}
	slices.SortStableFunc(j.Records, func(a, b *Record) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Instance, b.Instance))
	})
	for _, r := range j.Records {
		j.index(r)
	}
	for _, instance := range j.byName {
		instance.finish()
	}
	return j
}

func (j *Journal) index(r *Record) {
	if id := r.Text(fieldRequestID); id != "" {
		j.byRequest[id] = append(j.byRequest[id], r)
	} else if r.Event == events.RequestRefusedAtEntry.Number {
		j.withoutID = append(j.withoutID, r)
	}
	j.addMention(r)
	instance := j.byName[r.Instance]
	if instance == nil {
		instance = newInstance(r)
		j.byName[r.Instance] = instance
	}
	instance.add(r)
}

// addMention notes the instance that a record is about.
func (j *Journal) addMention(r *Record) {
	switch r.Event {
	case events.InstanceState.Number:
		name, _, _ := strings.Cut(r.Text(fieldSubjectInstance), "@") // the incarnation follows
		j.mentioned[name] = true
	case events.RequestForwardedAgain.Number:
		j.mentioned[r.Text(fieldHolder)] = true
	}
}

// Request returns the records of a request in chronological order.
func (j *Journal) Request(id string) []*Record {
	return j.byRequest[id]
}

// RequestIDs returns the IDs of all requests, sorted.
func (j *Journal) RequestIDs() []string {
	return slices.Sorted(maps.Keys(j.byRequest))
}

// Instances returns the instances that wrote records, sorted by name.
func (j *Journal) Instances() []*Instance {
	return slices.SortedFunc(maps.Values(j.byName), func(a, b *Instance) int { return cmp.Compare(a.Name, b.Name) })
}

// Gaps returns all periods from which records are known to be missing.
func (j *Journal) Gaps() []Gap {
	var gaps []Gap
	for _, instance := range j.Instances() {
		gaps = append(gaps, instance.Gaps...)
	}
	for _, name := range slices.Sorted(maps.Keys(j.mentioned)) {
		if name != "" && j.byName[name] == nil {
			gaps = append(gaps, Gap{Instance: name, Reason: GapNoRecords})
		}
	}
	return gaps
}

// Losses describes the records that are known to be missing.
func (j *Journal) Losses() []string {
	var losses []string
	for _, gap := range j.Gaps() {
		losses = append(losses, gap.String())
	}
	return append(losses, j.unreadable()...)
}

func (j *Journal) unreadable() []string {
	if len(j.BadLines) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d lines that could not be read", len(j.BadLines))}
}

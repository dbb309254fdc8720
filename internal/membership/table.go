package membership

import (
	"slices"
	"strings"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/instances"
)

const (
	// suspectTimeout is the time since the last response after which a missing response makes
	// an instance suspect. It covers three renewals, so that one lost message has no effect.
	suspectTimeout = 450 * time.Millisecond
	// goneTimeout is the time after which a suspect instance counts as gone.
	goneTimeout = time.Minute
	// responseValidity is how long a response takes precedence over the platform's list, which
	// may be hours old.
	responseValidity = time.Minute
	// forgetTimeout is the time after which gone instances that are no longer listed are
	// removed.
	forgetTimeout = 10 * time.Minute
	// maxReplaced limits the number of replaced incarnations that are remembered. At 110
	// restarts a day it is reached after about two weeks.
	maxReplaced = 1536
)

// Table decides the state of each instance. It does no I/O, reads no clock and is owned by one
// goroutine.
type Table struct {
	self    string
	records map[string]*record
	// replaced holds incarnations that have been replaced by another one. Late messages from
	// them are ignored.
	replaced      map[authority.Instance]bool
	replacedOrder []authority.Instance
	// version is incremented with each change that Entries shows.
	version uint64
}

// NewTable returns an empty table. The instance named self is never included.
func NewTable(self string) *Table {
	return &Table{self: self, records: map[string]*record{}, replaced: map[authority.Instance]bool{}}
}

// Observe applies a direct observation.
func (t *Table) Observe(now time.Time, o Observation) {
	if o.Instance.Name == t.self || o.Instance.Name == "" || t.replaced[o.Instance] {
		return
	}
	switch o.Kind {
	case Responded:
		t.recordResponse(now, o, Live)
	case ReportedLeaving:
		t.recordResponse(now, o, Leaving)
	default:
		t.recordFailure(now, o)
	}
}

func (t *Table) recordResponse(now time.Time, o Observation, state State) {
	r, known := t.records[o.Instance.Name]
	if !known {
		r = &record{Entry: Entry{ChangedAt: now, State: state}}
		t.records[o.Instance.Name] = r
	}
	member := authority.Member{Instance: o.Instance, Address: o.Address, Domain: o.Domain}
	if o.Address == "" {
		member.Address = r.Member.Address
	}
	if o.Domain == "" {
		member.Domain = r.Member.Domain
	}
	if r.Member.Instance != o.Instance {
		t.recordReplaced(r)
		r.ChangedAt = now
	}
	r.respondedAt = now
	t.setMember(r, member)
	t.setState(now, r, state)
}

func (t *Table) setMember(r *record, member authority.Member) {
	if r.Member != member {
		r.Member = member
		t.version++
	}
}

func (t *Table) setState(now time.Time, r *record, state State) {
	if r.State != state {
		r.State = state
		r.ChangedAt = now
		t.version++
	}
}

// Version returns a number that increases with each change of Entries.
func (t *Table) Version() uint64 {
	return t.version
}

func (t *Table) recordFailure(now time.Time, o Observation) {
	r, known := t.records[o.Instance.Name]
	if !known || r.Member.Instance != o.Instance {
		return
	}
	switch o.Kind {
	case ConnectionRefused:
		t.setState(now, r, Gone)
	case IdentityMismatch:
		t.recordReplaced(r)
		t.setMember(r, authority.Member{
			Instance: authority.Instance{Name: o.Instance.Name},
			Address:  r.Member.Address,
			Domain:   r.Member.Domain,
		})
		r.probedAt = time.Time{}
		t.setState(now, r, Suspect)
	case NoResponse:
		if r.State != Gone && !r.respondedAt.Add(suspectTimeout).After(now) {
			t.setState(now, r, Suspect)
		}
	}
}

// recordReplaced remembers the incarnation of r as replaced.
func (t *Table) recordReplaced(r *record) {
	old := r.Member.Instance
	if old.Incarnation == "" || t.replaced[old] {
		return
	}
	t.replaced[old] = true
	t.replacedOrder = append(t.replacedOrder, old)
	if len(t.replacedOrder) > maxReplaced {
		delete(t.replaced, t.replacedOrder[0])
		t.replacedOrder = t.replacedOrder[1:]
	}
}

// MergeList applies the platform's list. It adds instances that are not known yet, and changes
// a state only where there is no recent direct observation.
func (t *Table) MergeList(now time.Time, list []instances.Instance) {
	for _, r := range t.records {
		r.listedState = ""
	}
	for _, i := range list {
		if i.Name == t.self {
			continue
		}
		r, known := t.records[i.Name]
		if !known {
			r = &record{Entry: Entry{ChangedAt: now, Member: authority.Member{Instance: authority.Instance{Name: i.Name}}}}
			t.records[i.Name] = r
			t.version++
		}
		t.mergeInstance(now, r, i)
	}
}

func (t *Table) mergeInstance(now time.Time, r *record, i instances.Instance) {
	r.listedState = i.State
	responseValid := r.respondedAt.Add(responseValidity).After(now)
	if !responseValid {
		t.setMember(r, authority.Member{Instance: r.Member.Instance, Address: i.Address, Domain: i.Domain})
	}
	if responseValid || r.State == Suspect || r.State == Gone {
		return
	}
	if i.State == instances.Leaving {
		t.setState(now, r, Leaving)
		return
	}
	t.setState(now, r, Live)
}

// ApplyTimeouts marks instances as gone that have been suspect for goneTimeout, and removes
// gone ones that are no longer listed.
func (t *Table) ApplyTimeouts(now time.Time) {
	for name, r := range t.records {
		if r.State == Suspect && !r.ChangedAt.Add(goneTimeout).After(now) {
			t.setState(now, r, Gone)
		}
		if r.State == Gone && r.listedState == "" && !r.ChangedAt.Add(forgetTimeout).After(now) {
			delete(t.records, name)
			t.version++
		}
	}
}

// Entries returns all instances, ordered by name.
func (t *Table) Entries() []Entry {
	entries := make([]Entry, 0, len(t.records))
	for _, r := range t.records {
		entries = append(entries, r.Entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return strings.Compare(a.Member.Instance.Name, b.Member.Instance.Name)
	})
	return entries
}

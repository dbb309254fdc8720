package membership

import (
	"slices"
	"strings"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/instances"
)

const (
	// silentAfter is how long an instance must not have answered before silence
	// makes it suspect: three renewals, so that one lost message does not.
	silentAfter = 450 * time.Millisecond
	// goneAfter turns a suspect into a gone instance.
	goneAfter = time.Minute
	// directFor is how long an answer outweighs the list, which may be hours old.
	directFor = time.Minute
	// forgetAfter drops gone instances that are no longer listed.
	forgetAfter = 10 * time.Minute
	// formerLimit bounds the remembered former incarnations; 110 restarts a day
	// take about two weeks to fill it.
	formerLimit = 1536
)

// Table decides the state of each instance. It is pure and owned by one
// goroutine.
type Table struct {
	self    string
	records map[string]*record
	// former holds incarnations that another one has replaced. Late messages of
	// theirs are ignored.
	former      map[authority.Instance]bool
	formerOrder []authority.Instance
	// version rises with each change that Entries shows.
	version uint64
}

// NewTable returns a table that knows no other instance. self is left out.
func NewTable(self string) *Table {
	return &Table{self: self, records: map[string]*record{}, former: map[authority.Instance]bool{}}
}

// Observe takes one direct observation.
func (t *Table) Observe(now time.Time, e Observation) {
	if e.Instance.Name == t.self || e.Instance.Name == "" || t.former[e.Instance] {
		return
	}
	switch e.Kind {
	case Responded:
		t.answered(now, e, Live)
	case ReportedLeaving:
		t.answered(now, e, Leaving)
	default:
		t.failed(now, e)
	}
}

func (t *Table) answered(now time.Time, e Observation, state State) {
	r, known := t.records[e.Instance.Name]
	if !known {
		r = &record{Entry: Entry{ChangedAt: now, State: state}}
		t.records[e.Instance.Name] = r
	}
	member := authority.Member{Instance: e.Instance, Address: e.Address, Domain: e.Domain}
	if e.Address == "" {
		member.Address = r.Member.Address
	}
	if e.Domain == "" {
		member.Domain = r.Member.Domain
	}
	if r.Member.Instance != e.Instance {
		t.replace(r)
		r.ChangedAt = now
	}
	r.answeredAt = now
	t.setMember(r, member)
	t.set(now, r, state)
}

func (t *Table) setMember(r *record, member authority.Member) {
	if r.Member != member {
		r.Member = member
		t.version++
	}
}

func (t *Table) set(now time.Time, r *record, state State) {
	if r.State != state {
		r.State = state
		r.ChangedAt = now
		t.version++
	}
}

// Version returns a number that rises with each change of Entries.
func (t *Table) Version() uint64 {
	return t.version
}

func (t *Table) failed(now time.Time, e Observation) {
	r, known := t.records[e.Instance.Name]
	if !known || r.Member.Instance != e.Instance {
		return
	}
	switch e.Kind {
	case ConnectionRefused:
		t.set(now, r, Gone)
	case IdentityMismatch:
		t.replace(r)
		t.setMember(r, authority.Member{
			Instance: authority.Instance{Name: e.Instance.Name},
			Address:  r.Member.Address,
			Domain:   r.Member.Domain,
		})
		r.probedAt = time.Time{}
		t.set(now, r, Suspect)
	case NoResponse:
		if r.State != Gone && !r.answeredAt.Add(silentAfter).After(now) {
			t.set(now, r, Suspect)
		}
	}
}

// replace remembers the incarnation of r as a former one.
func (t *Table) replace(r *record) {
	old := r.Member.Instance
	if old.Incarnation == "" || t.former[old] {
		return
	}
	t.former[old] = true
	t.formerOrder = append(t.formerOrder, old)
	if len(t.formerOrder) > formerLimit {
		delete(t.former, t.formerOrder[0])
		t.formerOrder = t.formerOrder[1:]
	}
}

// Merge takes the platform's list. It adds instances that were never heard of,
// and decides only where there is no recent direct evidence.
func (t *Table) Merge(now time.Time, list []instances.Instance) {
	for _, r := range t.records {
		r.listed = ""
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
		t.mergeOne(now, r, i)
	}
}

func (t *Table) mergeOne(now time.Time, r *record, i instances.Instance) {
	r.listed = i.State
	direct := r.answeredAt.Add(directFor).After(now)
	if !direct {
		t.setMember(r, authority.Member{Instance: r.Member.Instance, Address: i.Address, Domain: i.Domain})
	}
	if direct || r.State == Suspect || r.State == Gone {
		return
	}
	if i.State == instances.Leaving {
		t.set(now, r, Leaving)
		return
	}
	t.set(now, r, Live)
}

// Tick lets suspects become gone and forgets instances that are not listed.
func (t *Table) Tick(now time.Time) {
	for name, r := range t.records {
		if r.State == Suspect && !r.ChangedAt.Add(goneAfter).After(now) {
			t.set(now, r, Gone)
		}
		if r.State == Gone && r.listed == "" && !r.ChangedAt.Add(forgetAfter).After(now) {
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

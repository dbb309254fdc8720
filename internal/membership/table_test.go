package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/instances"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func instance(name, incarnation string) authority.Instance {
	return authority.Instance{Name: name, Incarnation: incarnation}
}

// Guards against a list that is hours old taking precedence over direct observations, and
// against late messages of a replaced incarnation being applied.
func TestObserve(t *testing.T) {
	a1, a2 := instance("a", "1"), instance("a", "2")
	listed := []instances.Instance{{Name: "a", Address: "a:1", Domain: "d1", State: instances.Live}}
	leaving := []instances.Instance{{Name: "a", Address: "a:1", Domain: "d1", State: instances.Leaving}}
	cases := []struct {
		name         string
		observations []Observation
		list         []instances.Instance
		interval     time.Duration
		state        State
		instance     authority.Instance
	}{
		{"listed only", nil, listed, 0, Live, instance("a", "")},
		{"listed as leaving", nil, leaving, 0, Leaving, instance("a", "")},
		{"responds, listed as leaving hours ago", []Observation{{Kind: Responded, Instance: a1}}, leaving, 0, Live, a1},
		{"says leaving, listed as live", []Observation{{Kind: ReportedLeaving, Instance: a1}}, listed, 0, Leaving, a1},
		{"responds, not listed", []Observation{{Kind: Responded, Instance: a1}}, nil, 0, Live, a1},
		{"no response for long, listed as live", []Observation{{Kind: Responded, Instance: a1}, {Kind: NoResponse, Instance: a1}}, listed, time.Second, Suspect, a1},
		{"one lost message", []Observation{{Kind: Responded, Instance: a1}, {Kind: NoResponse, Instance: a1}}, listed, 100 * time.Millisecond, Live, a1},
		{"connection refused, listed as live", []Observation{{Kind: Responded, Instance: a1}, {Kind: ConnectionRefused, Instance: a1}}, listed, 0, Gone, a1},
		{"restarted", []Observation{{Kind: Responded, Instance: a1}, {Kind: Responded, Instance: a2}}, listed, 0, Live, a2},
		{"late response of the replaced incarnation", []Observation{{Kind: Responded, Instance: a1}, {Kind: Responded, Instance: a2}, {Kind: Responded, Instance: a1}}, listed, 0, Live, a2},
		{"late refusal of the replaced incarnation", []Observation{{Kind: Responded, Instance: a1}, {Kind: Responded, Instance: a2}, {Kind: ConnectionRefused, Instance: a1}}, listed, 0, Live, a2},
		{"another instance responds at its address", []Observation{{Kind: Responded, Instance: a1}, {Kind: IdentityMismatch, Instance: a1}}, listed, 0, Suspect, instance("a", "")},
		{"connection refused, then responds", []Observation{{Kind: ConnectionRefused, Instance: a1}, {Kind: Responded, Instance: a1}}, listed, 0, Live, a1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable("self")
			now := start
			for _, e := range c.observations {
				table.Observe(now, e)
				now = now.Add(c.interval)
			}
			table.MergeList(now, c.list)
			entries := table.Entries()
			is.Equal(len(entries), 1)
			is.Equal(entries[0].State, c.state)
			is.Equal(entries[0].Member.Instance, c.instance)
		})
	}
}

// Guards against instances of a failed rack staying in service because they are still listed,
// and against the other instances being taken out with them.
func TestRackLost(t *testing.T) {
	is := is.New(t)
	table := NewTable("self")
	var list []instances.Instance
	for i := range 12 {
		name := fmt.Sprint("i", i)
		list = append(list, instances.Instance{Name: name, Address: name, Domain: fmt.Sprint("d", i%3), State: instances.Live})
		table.Observe(start, Observation{Kind: Responded, Instance: instance(name, "1")})
	}
	lost := start.Add(time.Second)
	for i := range 12 {
		kind := Responded
		if i%3 == 0 {
			kind = NoResponse
		}
		table.Observe(lost, Observation{Kind: kind, Instance: instance(fmt.Sprint("i", i), "1")})
	}
	table.MergeList(lost, list)
	table.ApplyTimeouts(lost.Add(time.Minute))
	table.MergeList(lost.Add(2*time.Hour), list)
	for i, e := range table.Entries() {
		is.Equal(e.State == Gone, e.Member.Domain == "d0") // entry i
		is.Equal(e.State == Live, e.Member.Domain != "d0")
		_ = i
	}
}

// Guards against a change that does not raise the version, after which an outdated view would
// never be replaced.
func TestVersionRisesWithEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable("self")
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90000).Draw(t, "ms")) * time.Millisecond)
			before, version := table.Entries(), table.Version()
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			switch kind := rapid.IntRange(0, 6).Draw(t, "kind"); kind {
			case 5:
				table.ApplyTimeouts(now)
			case 6:
				state := rapid.SampledFrom([]instances.State{instances.Live, instances.Leaving}).Draw(t, "state")
				table.MergeList(now, []instances.Instance{{Name: name, Address: "x", State: state}})
			default:
				incarnation := rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "incarnation")
				table.Observe(now, Observation{Kind: ObservationKind(kind), Instance: instance(name, incarnation), Address: "x"})
			}
			if table.Version() == version && fmt.Sprint(before) != fmt.Sprint(table.Entries()) {
				t.Fatalf("entries changed from %v to %v without a new version", before, table.Entries())
			}
		}
	})
}

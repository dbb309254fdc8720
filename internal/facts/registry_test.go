package facts

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// decodeVersion decodes a configuration that consists of its version, a single digit.
func decodeVersion(text []byte) (*fleet.Config, error) {
	if len(text) != 1 || text[0] < '0' || text[0] > '9' {
		return nil, errors.New("not a version")
	}
	return fleet.NewConfig(int64(text[0]-'0'), nil, nil, fleet.Limits{}), nil
}

// An older or unreadable configuration, or an older reading, must not replace the current
// one. The store revision decides which reading is older, since a process that was
// suspended would take delayed messages for new ones.
func TestConfigurationIsNeverReplacedByAnOlderOne(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		text string
		read uint64
		at   time.Time
		want int64
	}{
		{"newer", "5", 11, start.Add(time.Second), 5},
		{"older", "2", 11, start.Add(time.Second), 3},
		{"unreadable", "x", 11, start.Add(time.Second), 3},
		{"missing", "", 11, start.Add(time.Second), 3},
		{"read earlier, received later", "5", 9, start.Add(time.Second), 3},
		{"read later, seemingly earlier", "5", 11, start.Add(-time.Second), 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRegistry(decodeVersion, nil)
			r.UpdateOperatorSettings(fleet.OperatorSettings{Revision: 10, Config: []byte("3")}, start)
			settings := fleet.OperatorSettings{Revision: c.read, Config: []byte(c.text)}
			if c.text == "" {
				settings.Config = nil
			}
			r.UpdateOperatorSettings(settings, c.at)
			is.New(t).Equal(r.Snapshot().Config.Version, c.want)
		})
	}
}

// Equal facts must not count as a change. The holder also publishes to its own instance
// and would otherwise do so without end.
func TestEqualFactsChangeNothing(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(decodeVersion, nil)
	update := func() {
		r.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("3"), DomainsOut: []string{"d"}}, at)
		r.UpdateListing(fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "a"}, Address: "h:1"}}}, at)
		r.UpdateOwners(map[string][]owners.OwnedRange{"s": {{Interval: owners.Interval{From: 0, To: 9}, Owner: "a", Held: true}}}, 1)
	}
	update()
	snapshot := r.Snapshot()
	update()
	is.True(r.Snapshot() == snapshot)
}

// Live servers whose entries expired during a store outage must be retained, but not a
// server whose address now belongs to another one.
func TestRetain(t *testing.T) {
	is := is.New(t)
	server := func(name, address string) fleet.Server {
		return fleet.Server{Incarnation: fleet.Incarnation{Name: name}, Address: fleet.Address(address)}
	}
	got := RetainMissing(
		[]fleet.Server{server("a", "h:1"), server("b", "h:2"), server("c", "h:3")},
		[]fleet.Server{server("a", "h:1"), server("d", "h:3")})
	var names []string
	for _, s := range got {
		names = append(names, s.Name)
	}
	is.Equal(names, []string{"a", "b", "d"})
}

// Orders must still be sent to a server that runs on although it is no longer listed.
func TestFormerServersCanBeFound(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(decodeVersion, nil)
	a := fleet.Server{Incarnation: fleet.Incarnation{Name: "a", StartMS: 1}, Address: "h:1"}
	restarted := a
	restarted.StartMS = 2
	r.UpdateListing(fleet.Listing{Servers: []fleet.Server{a}}, at)
	r.UpdateListing(fleet.Listing{Servers: []fleet.Server{restarted}}, at.Add(time.Second))
	is.Equal(r.Snapshot().FindIncarnation(a.Incarnation).Address, fleet.Address("h:1"))
	is.True(r.Snapshot().Server("a").Incarnation == restarted.Incarnation)
	r.UpdateListing(fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "b"}}}}, at.Add(2*time.Second))
	is.True(r.Snapshot().FindIncarnation(restarted.Incarnation) != nil)
	is.True(r.Snapshot().Server("a") == nil)
}

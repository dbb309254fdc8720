package facts

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// decodeVersion reads a configuration that is one digit.
func decodeVersion(text []byte) (*fleet.Config, error) {
	if len(text) != 1 || text[0] < '0' || text[0] > '9' {
		return nil, errors.New("not a version")
	}
	return fleet.NewConfig(int64(text[0]-'0'), nil, nil, fleet.Limits{}), nil
}

// Guards against a configuration that goes back: an older or unreadable one,
// or an older reading, leaves the one in force. Which reading is older is told by
// the store's revision, since a process that stood still takes late messages for new ones.
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
		{"read earlier, heard later", "5", 9, start.Add(time.Second), 3},
		{"read later, seemingly earlier", "5", 11, start.Add(-time.Second), 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewRegistry(decodeVersion, nil)
			b.UpdateOperatorSettings(fleet.OperatorSettings{Revision: 10, Config: []byte("3")}, start)
			orders := fleet.OperatorSettings{Revision: c.read, Config: []byte(c.text)}
			if c.text == "" {
				orders.Config = nil
			}
			b.UpdateOperatorSettings(orders, c.at)
			is.New(t).Equal(b.Snapshot().Config.Version, c.want)
		})
	}
}

// Guards against news that are none: the holder publishes to its own instance
// too, and would go on for ever.
func TestEqualFactsChangeNothing(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	b := NewRegistry(decodeVersion, nil)
	tell := func() {
		b.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("3"), DomainsOut: []string{"d"}}, at)
		b.UpdateListing(fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "a"}, Address: "h:1"}}}, at)
		b.UpdateOwners(map[string][]owners.OwnedRange{"s": {{Interval: owners.Interval{From: 0, To: 9}, Owner: "a", Held: true}}}, 1)
	}
	tell()
	view := b.Snapshot()
	tell()
	is.True(b.Snapshot() == view)
}

// Guards against live servers that count as gone because their entries lapsed
// while the store was away, and against a server whose address has a new owner.
func TestRetain(t *testing.T) {
	is := is.New(t)
	server := func(name, address string) fleet.Server {
		return fleet.Server{Incarnation: fleet.Incarnation{Name: name}, Address: address}
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

// Guards against orders that cannot be sent to a server that lives on though it
// is listed no more.
func TestFormerServersCanBeFound(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	b := NewRegistry(decodeVersion, nil)
	a := fleet.Server{Incarnation: fleet.Incarnation{Name: "a", StartMS: 1}, Address: "h:1"}
	reborn := a
	reborn.StartMS = 2
	b.UpdateListing(fleet.Listing{Servers: []fleet.Server{a}}, at)
	b.UpdateListing(fleet.Listing{Servers: []fleet.Server{reborn}}, at.Add(time.Second))
	is.Equal(b.Snapshot().FindIncarnation(a.Incarnation).Address, "h:1")
	is.True(b.Snapshot().Server("a").Incarnation == reborn.Incarnation)
	b.UpdateListing(fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "b"}}}}, at.Add(2*time.Second))
	is.True(b.Snapshot().FindIncarnation(reborn.Incarnation) != nil)
	is.True(b.Snapshot().Server("a") == nil)
}

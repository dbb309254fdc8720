package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Guards against facts of a later era that an instance rejects as older, because the message
// does not tell the era, and against a part of an earlier era that passes for the later one.
func TestFactsTellTheirEra(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	config := func([]byte) (*fleet.Config, error) { return fleet.NewConfig(1, nil, nil, fleet.Limits{}), nil }
	sender, receiver := facts.NewRegistry(config, nil), facts.NewRegistry(config, nil)
	settings := fleet.OperatorSettings{Era: 1, Revision: 900, Config: []byte("1"), DomainsOut: []string{"old"}}
	receiver.UpdateListing(fleet.Listing{Era: 1, Revision: 950, Servers: listed(0, "a").Servers}, now)
	receiver.UpdateOperatorSettings(fleet.OperatorSettings{Era: 1, Revision: 950, Config: []byte("1"), DomainsOut: []string{"new"}}, now)
	sender.UpdateOperatorSettings(settings, now)
	sender.UpdateListing(fleet.Listing{Era: 2, Revision: 7, Servers: listed(0, "b").Servers}, now)
	link := NewFactsReceiver(receiver)
	link.Apply(EncodeFacts(sender.Snapshot(), SentSequences{}, nil, now), now, now)
	is.Equal(names(receiver), []string{"a", "b"}) // the store may have lost a
	is.Equal(receiver.Snapshot().ListingVersion, store.Version{Era: 2, Revision: 7})
	now = now.Add(3 * time.Second)
	link.Apply(&linkpb.Facts{Era: 2, ListingRevision: 7}, now, now)
	is.Equal(names(receiver), []string{"b"})
	is.Equal(receiver.Snapshot().ListingVersion, store.Version{Era: 2, Revision: 7})
	is.Equal(receiver.Snapshot().OperatorSettings.DomainsOut, []string{"new"})
	settings.Era, settings.Revision = 2, 8
	sender.UpdateOperatorSettings(settings, now)
	link.Apply(EncodeFacts(sender.Snapshot(), SentSequences{}, nil, now), now, now)
	is.Equal(receiver.Snapshot().OperatorSettings.DomainsOut, []string{"old"})
	is.Equal(receiver.Snapshot().OperatorSettings.Version(), store.Version{Era: 2, Revision: 8})
}

// Guards against facts that count as newly read although the registry has rejected the newer
// ones: of a sender that tells no era, or with a part of an era before; and against domains taken
// out that count as read although the message does not tell them.
func TestRejectedFactsConfirmNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		message  *linkpb.Facts
		confirms bool
	}{
		{"no era", &linkpb.Facts{OrdersRevision: 990, ListingRevision: 990, Orders: &linkpb.Orders{}}, false},
		{"listing of an era before", &linkpb.Facts{Era: 2, OrdersRevision: 5, Orders: &linkpb.Orders{}}, false},
		{"settings of an era before", &linkpb.Facts{Era: 2, ListingRevision: 5, Orders: &linkpb.Orders{}}, false},
		{"same era", &linkpb.Facts{Era: 1, OrdersRevision: 990, ListingRevision: 990, Orders: &linkpb.Orders{}}, true},
		{"later era", &linkpb.Facts{Era: 2, OrdersRevision: 5, ListingRevision: 5, Orders: &linkpb.Orders{}}, true},
		{"domains not told", &linkpb.Facts{Era: 1, OrdersRevision: 990, ListingRevision: 990}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			registry := facts.NewRegistry(nil, nil)
			registry.UpdateListing(fleet.Listing{Era: 1, Revision: 950, Servers: listed(0, "a").Servers}, now)
			registry.ConfirmRead(now)
			NewFactsReceiver(registry).Apply(c.message, now.Add(time.Second), now.Add(time.Second))
			age, known := registry.Age(now.Add(time.Second))
			is.True(known)
			is.Equal(age == 0, c.confirms)
		})
	}
}

// Guards against servers that come back: a listing of two eras before, in a message of a later
// era, must not replace a newer listing of the same era.
func TestPartOfAnEraLongBeforeReplacesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	config := func([]byte) (*fleet.Config, error) { return fleet.NewConfig(1, nil, nil, fleet.Limits{}), nil }
	sender, receiver := facts.NewRegistry(config, nil), facts.NewRegistry(config, nil)
	receiver.UpdateListing(fleet.Listing{Era: 1, Revision: 950, Servers: listed(0, "a").Servers}, now)
	sender.UpdateListing(fleet.Listing{Era: 1, Revision: 900, Servers: listed(0, "a", "gone").Servers}, now)
	sender.UpdateOperatorSettings(fleet.OperatorSettings{Era: 3, Revision: 5, Config: []byte("1")}, now)
	NewFactsReceiver(receiver).Apply(EncodeFacts(sender.Snapshot(), SentSequences{}, nil, now), now, now)
	is.Equal(names(receiver), []string{"a"})
	is.Equal(receiver.Snapshot().ListingVersion, store.Version{Era: 1, Revision: 950})
}

// Guards against a domain and a server that get requests again because the holder is a new
// process, which has read the store only after it lost who took them out; and against an
// instance that keeps them for longer than their writers need.
func TestNewHolderDoesNotTakeBackWhatTheStoreLost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	config := func([]byte) (*fleet.Config, error) { return fleet.NewConfig(1, nil, nil, fleet.Limits{}), nil }
	holder, instance := facts.NewRegistry(config, nil), facts.NewRegistry(config, nil)
	known := listed(950, "a", "b")
	known.Era, known.Servers[0].Leaving = 1, true
	instance.UpdateListing(known, now)
	instance.UpdateOperatorSettings(fleet.OperatorSettings{Era: 1, Revision: 950, Config: []byte("1"), DomainsOut: []string{"out"}}, now)
	holder.UpdateListing(fleet.Listing{Era: 2, Revision: 900, Servers: listed(0, "a").Servers}, now)
	holder.UpdateOperatorSettings(fleet.OperatorSettings{Era: 2, Revision: 900, Config: []byte("1")}, now)
	link := NewFactsReceiver(instance)
	first := EncodeFacts(holder.Snapshot(), SentSequences{}, nil, now)
	heartbeat := &linkpb.Facts{Era: first.Era, OrdersRevision: first.OrdersRevision, ListingRevision: first.ListingRevision}
	for at := now; at.Before(now.Add(3 * time.Second)); at = at.Add(HeartbeatInterval) {
		link.Apply(first, at, at)
		first = heartbeat
		is.Equal(instance.Snapshot().OperatorSettings.DomainsOut, []string{"out"})
		is.Equal(names(instance), []string{"a", "b"})
		is.True(instance.Snapshot().Server("a").Leaving)
	}
	link.Apply(heartbeat, now.Add(3*time.Second), now.Add(3*time.Second))
	is.Equal(len(instance.Snapshot().OperatorSettings.DomainsOut), 0)
	is.Equal(names(instance), []string{"a"})
	is.True(!instance.Snapshot().Server("a").Leaving)
}

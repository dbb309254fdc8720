package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
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
	is.Equal(names(receiver), []string{"b"})
	is.Equal(receiver.Snapshot().ListingVersion, store.Version{Era: 2, Revision: 7})
	is.Equal(receiver.Snapshot().OperatorSettings.DomainsOut, []string{"new"})
	settings.Era, settings.Revision = 2, 8
	sender.UpdateOperatorSettings(settings, now)
	link.Apply(EncodeFacts(sender.Snapshot(), SentSequences{}, nil, now), now, now)
	is.Equal(receiver.Snapshot().OperatorSettings.DomainsOut, []string{"old"})
	is.Equal(receiver.Snapshot().OperatorSettings.Version(), store.Version{Era: 2, Revision: 8})
}

package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Guards against a holder whose facts count as new although it lacks a domain that the reader of
// the store has: the reader left out what the holder had told it, and the operators had taken the
// domain back and out again since.
func TestReadingTellsTheHolderOfADomainTakenOutAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	config := func([]byte) (*fleet.Config, error) { return fleet.NewConfig(1, nil, nil, fleet.Limits{}), nil }
	holder, follower := facts.NewRegistry(config, nil), facts.NewRegistry(config, nil)
	read := func(registry *facts.Registry, revision uint64, domains ...string) {
		registry.UpdateOperatorSettings(fleet.OperatorSettings{Revision: revision, Config: []byte("1"), DomainsOut: domains}, now)
		registry.UpdateListing(listed(revision, "a"), now)
		registry.ConfirmRead(now)
	}
	read(holder, 10, "d")
	receiver := NewFactsReceiver(follower)
	receiver.Apply(EncodeFacts(holder.Snapshot(), SentSequences{}, nil, now), now, now)
	is.Equal(follower.Snapshot().OperatorSettings.DomainsOut, []string{"d"})

	now = now.Add(time.Second)
	read(holder, 20) // taken back; the follower has not been told yet
	now = now.Add(time.Second)
	read(follower, 30, "d")
	reading, readAt := receiver.EncodeReading(now)
	is.True(reading.Orders != nil)
	is.Equal(len(reading.Orders.Config), 0) // the holder has it
	NewFactsReceiver(holder).Apply(reading, readAt, now)
	is.Equal(holder.Snapshot().OperatorSettings.DomainsOut, []string{"d"})
	is.Equal(string(holder.Snapshot().OperatorSettings.Config), "1")
	age, _ := holder.Age(now)
	is.Equal(age, time.Duration(0))
}

// Guards against a domain that gets requests again because settings of a reading before that of
// the domains arrive later, and against domains that stay out after a newer reading.
func TestDomainsReadByThemselvesOutliveOlderSettings(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	config := func([]byte) (*fleet.Config, error) { return fleet.NewConfig(1, nil, nil, fleet.Limits{}), nil }
	registry, holder := facts.NewRegistry(config, nil), facts.NewRegistry(config, nil)
	registry.UpdateDomainsOut(fleet.DomainsOut{Revision: 20, Domains: []string{"e", "d"}}, now)
	is.Equal(registry.Snapshot().OperatorSettings.DomainsOut, []string{"d", "e"})
	is.True(!registry.UpdateDomainsOut(fleet.DomainsOut{Revision: 19}, now))

	holder.UpdateOperatorSettings(fleet.OperatorSettings{Revision: 10, Config: []byte("1")}, now)
	receiver := NewFactsReceiver(registry)
	receiver.Apply(EncodeFacts(holder.Snapshot(), SentSequences{}, nil, now), now, now)
	is.Equal(string(registry.Snapshot().OperatorSettings.Config), "1")
	is.Equal(registry.Snapshot().OperatorSettings.DomainsOut, []string{"d", "e"})

	holder.UpdateOperatorSettings(fleet.OperatorSettings{Revision: 21, Config: []byte("1")}, now)
	receiver.Apply(EncodeFacts(holder.Snapshot(), SentSequences{}, nil, now), now, now)
	is.Equal(len(registry.Snapshot().OperatorSettings.DomainsOut), 0)
}

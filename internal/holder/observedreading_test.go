package holder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
)

// switchableSource lists a server until it has left, and fails while it is out.
type switchableSource struct{ left, out bool }

func (s *switchableSource) OperatorSettings(context.Context) (fleet.OperatorSettings, error) {
	return fleet.OperatorSettings{}, nil
}

func (s *switchableSource) DomainsOut(context.Context) (fleet.DomainsOut, error) {
	return fleet.DomainsOut{}, nil
}

func (s *switchableSource) Listing(context.Context) (fleet.Listing, error) {
	if s.out {
		return fleet.Listing{}, errors.New("out")
	}
	if s.left {
		return fleet.Listing{}, nil
	}
	return fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "i-1"}, Address: "10.0.0.1:1"}}}, nil
}

// Guards against a holder that was cut off before its election and tells its followers of servers
// that have left, which they know already (review/15).
func TestFollowerTellsTheHolderThatTheStoreWasNotOut(t *testing.T) {
	is := is.New(t)
	cutOff := facts.NewRegistry(nil, nil)
	source := &switchableSource{}
	reader := facts.NewReader(source, cutOff, nil)
	is.NoErr(reader.Read(t.Context()))
	begin := time.Now().Add(-10 * time.Second)
	cutOff.ForgetRead()
	cutOff.ConfirmRead(begin)
	source.left, source.out = true, true
	is.True(reader.Read(t.Context()) != nil)
	source.out = false
	is.NoErr(reader.Read(t.Context()))
	is.Equal(len(cutOff.Snapshot().Servers), 1) // as after an outage

	other := facts.NewRegistry(nil, nil)
	for at := begin; at.Before(time.Now()); at = at.Add(time.Second) {
		other.ConfirmRead(at)
	}
	follower := &link.Follower{Member: link.Member{Instance: "n/1", Known: link.NewFactsReceiver(other).Known()}}
	c := &Coordinator{registry: cutOff, reader: reader, ctx: t.Context(), queue: make(chan func(), 1)}
	is.True(c.Join(follower))
	is.Equal(len(cutOff.Snapshot().Servers), 0)
}

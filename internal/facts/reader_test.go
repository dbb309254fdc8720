package facts

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// fakeSource is a store whose list tests change.
type fakeSource struct {
	servers []fleet.Server
	down    bool
}

func (s *fakeSource) OperatorSettings(context.Context) (fleet.OperatorSettings, error) {
	return fleet.OperatorSettings{Config: []byte("1")}, nil
}

func (s *fakeSource) Listing(context.Context) (fleet.Listing, error) {
	if s.down {
		return fleet.Listing{}, errors.New("down")
	}
	return fleet.Listing{Servers: s.servers}, nil
}

func names(b *Registry) []string {
	out := []string{}
	for _, s := range b.Snapshot().Servers {
		out = append(out, s.Name)
	}
	return out
}

func servers(list ...string) []fleet.Server {
	var out []fleet.Server
	for _, n := range list {
		out = append(out, fleet.Server{Incarnation: fleet.Incarnation{Name: n}, Address: n + ":1"})
	}
	return out
}

// Guards against a removed server that an instance keeps because it has not
// read the store itself for long, though others have told it the news.
func TestRemovedServerIsNotRetainedAfterInfrequentReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeSource{servers: servers("a", "b")}
		b := NewRegistry(decodeVersion, nil)
		r := NewReader(s, b, nil)
		is.NoErr(r.Read(t.Context()))
		time.Sleep(10 * time.Second)
		b.ConfirmRead(time.Now().Add(-time.Second)) // the holder has read the store a second ago
		s.servers = servers("b")
		is.NoErr(r.Read(t.Context()))
		is.Equal(names(b), []string{"b"})
	})
}

// Guards against live servers that count as gone after an outage of the store,
// and against dead ones that are kept for longer than entries need to return.
func TestServersAreRetainedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeSource{servers: servers("a", "b")}
		b := NewRegistry(decodeVersion, nil)
		r := NewReader(s, b, nil)
		is.NoErr(r.Read(t.Context()))
		s.down = true
		time.Sleep(outageThreshold)
		is.True(r.Read(t.Context()) != nil)
		time.Sleep(time.Second)
		s.down = false
		s.servers = servers("b") // the entry of a has lapsed
		is.NoErr(r.Read(t.Context()))
		is.Equal(names(b), []string{"a", "b"})
		time.Sleep(time.Second)
		is.NoErr(r.Read(t.Context()))
		is.Equal(names(b), []string{"a", "b"})
		time.Sleep(relistPeriod)
		is.NoErr(r.Read(t.Context()))
		is.Equal(names(b), []string{"b"})
	})
}

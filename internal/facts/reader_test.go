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

// fakeSource is a source whose servers and availability the tests change.
type fakeSource struct {
	servers            []fleet.Server
	down, settingsDown bool
}

func (s *fakeSource) OperatorSettings(context.Context) (fleet.OperatorSettings, error) {
	if s.settingsDown {
		return fleet.OperatorSettings{}, errors.New("down")
	}
	return fleet.OperatorSettings{Config: []byte("1")}, nil
}

func (s *fakeSource) Listing(context.Context) (fleet.Listing, error) {
	if s.down {
		return fleet.Listing{}, errors.New("down")
	}
	return fleet.Listing{Servers: s.servers}, nil
}

func names(registry *Registry) []string {
	out := []string{}
	for _, s := range registry.Snapshot().Servers {
		out = append(out, s.Name)
	}
	return out
}

func servers(list ...string) []fleet.Server {
	var out []fleet.Server
	for _, n := range list {
		out = append(out, fleet.Server{Incarnation: fleet.Incarnation{Name: n}, Address: fleet.Address(n + ":1")})
	}
	return out
}

// readOnce returns a source with the servers a and b, and a reader that has read them once.
func readOnce(t *testing.T) (*fakeSource, *Registry, *Reader) {
	t.Helper()
	s := &fakeSource{servers: servers("a", "b")}
	registry := NewRegistry(decodeVersion, nil)
	r := NewReader(s, registry, nil)
	is.New(t).NoErr(r.Read(t.Context()))
	return s, registry, r
}

// An instance that has not read the store itself for long, but was kept up to date by the
// holder, must not take this for an outage and retain a removed server.
func TestRemovedServerIsNotRetainedAfterInfrequentReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, registry, r := readOnce(t)
		time.Sleep(10 * time.Second)
		registry.ConfirmRead(time.Now().Add(-time.Second)) // the holder read the store a second ago
		s.servers = servers("b")
		is.NoErr(r.Read(t.Context()))
		is.Equal(names(registry), []string{"b"})
	})
}

// Live servers must not be dropped after a store outage, and ended ones must not be kept
// for longer than live servers need to be listed again.
func TestServersAreRetainedAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, registry, r := readOnce(t)
		s.down = true
		time.Sleep(outageThreshold)
		is.True(r.Read(t.Context()) != nil)
		time.Sleep(time.Second)
		s.down = false
		s.servers = servers("b") // the entry of a has expired
		is.NoErr(r.Read(t.Context()))
		is.Equal(names(registry), []string{"a", "b"})
		time.Sleep(time.Second)
		is.NoErr(r.Read(t.Context()))
		is.Equal(names(registry), []string{"a", "b"})
		time.Sleep(relistPeriod)
		is.NoErr(r.Read(t.Context()))
		is.Equal(names(registry), []string{"b"})
	})
}

// Guards against a leaving server that is not noticed because the operators' settings could
// not be read, and against facts that count as read although a part of them was not.
func TestListingIsAppliedWithoutTheSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, registry, r := readOnce(t)
		time.Sleep(time.Second)
		s.servers, s.settingsDown = servers("b"), true
		is.True(r.Read(t.Context()) != nil)
		is.Equal(names(registry), []string{"b"})
		age, known := registry.Age(time.Now())
		is.True(known && age == time.Second)
	})
}

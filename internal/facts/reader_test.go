package facts

import (
	"context"
	"sync/atomic"
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

func (s *fakeSource) DomainsOut(context.Context) (fleet.DomainsOut, error) {
	if s.settingsDown {
		return fleet.DomainsOut{}, errors.New("down")
	}
	return fleet.DomainsOut{}, nil
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

// Guards against a gap in the readings of an instance that is taken for an outage of the store
// (review/15): servers that left meanwhile are kept, and told to others. In the first case the
// process stood still, in the others it was cut off and another instance had read the store.
func TestGapInReadingsIsNoOutageOfTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		failed          bool
		since, until    time.Duration // of the other instance, or 0
		want            []string
		observedEarlier bool
	}{
		"stood still":                          {false, 0, 0, []string{"b"}, false},
		"cut off":                              {true, -time.Minute, 5 * time.Second, []string{"b"}, false},
		"cut off, told before":                 {true, -time.Minute, 5 * time.Second, []string{"b"}, true},
		"the other one may have missed it":     {true, -time.Minute, 2 * time.Second, []string{"a", "b"}, false},
		"the other one has a gap at the start": {true, 3 * time.Second, 5 * time.Second, []string{"a", "b"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s, registry, r := readOnce(t)
				read := time.Now()
				span := ReadSpan{Since: read.Add(c.since), Until: read.Add(c.until)}
				time.Sleep(5 * time.Second)
				if s.down = c.failed; c.failed {
					is.True(r.Read(t.Context()) != nil)
				}
				s.down, s.servers = false, servers("b")
				if c.observedEarlier {
					r.Observe(span)
				}
				is.NoErr(r.Read(t.Context()))
				if c.failed && !c.observedEarlier {
					is.Equal(names(registry), []string{"a", "b"})
					r.Observe(span)
				}
				is.Equal(names(registry), c.want)
			})
		})
	}
}

// Guards against counting readings with a gap between them as a span without one.
func TestUnbrokenReadings(t *testing.T) {
	is := is.New(t)
	begin := time.Now()
	registry := NewRegistry(decodeVersion, nil)
	_, known := registry.LastReadSpan()
	is.True(!known)
	for _, at := range []time.Duration{0, outageThreshold, time.Second, 2 * outageThreshold} { // one of them late
		registry.ConfirmRead(begin.Add(at))
	}
	span, _ := registry.LastReadSpan()
	is.Equal(span, ReadSpan{begin, begin.Add(2 * outageThreshold)})
	registry.ConfirmRead(begin.Add(10 * outageThreshold))
	span, _ = registry.LastReadSpan()
	is.Equal(span, ReadSpan{begin.Add(10 * outageThreshold), begin.Add(10 * outageThreshold)})
}

// Guards against a server that has been listed again after an outage and then leaves, but is kept
// like those that are not listed yet.
func TestServerThatLeavesAfterAnOutageIsNotRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, registry, r := readOnce(t)
		s.down = true
		time.Sleep(outageThreshold)
		is.True(r.Read(t.Context()) != nil)
		time.Sleep(time.Second)
		s.down = false
		is.NoErr(r.Read(t.Context())) // both are listed
		time.Sleep(time.Second)
		s.servers = servers("b")
		is.NoErr(r.Read(t.Context()))
		is.Equal(names(registry), []string{"b"})
	})
}

// slowSettingsSource takes a while for the operators' settings.
type slowSettingsSource struct {
	fakeSource
	duration time.Duration
	reads    atomic.Int64
}

func (s *slowSettingsSource) OperatorSettings(ctx context.Context) (fleet.OperatorSettings, error) {
	s.reads.Add(1)
	select {
	case <-time.After(s.duration):
		return s.fakeSource.OperatorSettings(ctx)
	case <-ctx.Done():
		return fleet.OperatorSettings{}, errors.Wrap(ctx.Err(), "read")
	}
}

// Guards against a long configuration that an instance with a slow link never gets, because each
// reading is ended before, or because readings of requests and of the elector share the link.
func TestLongConfigurationIsReadOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &slowSettingsSource{duration: 2 * time.Second}
		source.servers = servers("a")
		registry := NewRegistry(decodeVersion, nil)
		reader := NewReader(source, registry, nil)
		began := time.Now()
		done := make(chan error, 1)
		go func() { done <- reader.ReadSlowly(t.Context()) }()
		time.Sleep(time.Millisecond)
		is.Equal(names(registry), []string{"a"})       // a part is applied as it comes
		is.True(reader.JoinOrRead(t.Context()) != nil) // within its own time
		is.True(time.Since(began) < time.Second)
		time.Sleep(500 * time.Millisecond)
		is.NoErr(reader.JoinOrRead(t.Context()))
		is.Equal(source.reads.Load(), int64(1))
		is.NoErr(<-done)
		span, _ := registry.LastReadSpan()
		is.Equal(span.Until, began)
		is.True(reader.JoinOrRead(t.Context()) != nil) // a reading of its own
		is.Equal(source.reads.Load(), int64(2))
	})
}

package facts

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Guards against facts that stay as they are after the store has come back from a copy, since
// its revisions have gone back, and against a late reading of the era before.
func TestLaterEraIsNewerAtAnyRevision(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(decodeVersion, nil)
	is.True(r.UpdateListing(fleet.Listing{Era: 1, Revision: 900, Servers: servers("a")}, at))
	is.True(r.UpdateOperatorSettings(fleet.OperatorSettings{Era: 1, Revision: 900, Config: []byte("3"), DomainsOut: []string{"x"}}, at))
	is.True(r.UpdateListing(fleet.Listing{Era: 2, Revision: 5, Servers: servers("a", "b")}, at))
	is.True(r.UpdateOperatorSettings(fleet.OperatorSettings{Era: 2, Revision: 5, Config: []byte("2")}, at))
	is.True(!r.UpdateListing(fleet.Listing{Era: 1, Revision: 901, Servers: servers("a")}, at))
	is.True(!r.UpdateOperatorSettings(fleet.OperatorSettings{Era: 1, Revision: 901, Config: []byte("4")}, at))
	s := r.Snapshot()
	is.Equal(names(r), []string{"a", "b"})
	is.Equal(s.ListingVersion, store.Version{Era: 2, Revision: 5})
	is.Equal(s.Config.Version, int64(3)) // does not go back
	is.Equal(len(s.OperatorSettings.DomainsOut), 0)
}

// Guards against what the store has lost: servers and domains that are in service again, and
// servers that come back, until their writers have written again; and against keeping it longer.
func TestLostWritesStayKnownUntilTheyAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	r := NewRegistry(decodeVersion, nil)
	server := func(name string, start int64, leaving bool) fleet.Server {
		return fleet.Server{Incarnation: fleet.Incarnation{Name: name, StartMS: start}, Address: fleet.Address(name + ":1"), Leaving: leaving}
	}
	read := func(era uint64, revision uint64, after time.Duration, domains []string, listed ...fleet.Server) {
		began := at.Add(after)
		r.UpdateListing(r.KeepKnownServers(fleet.Listing{Era: era, Revision: revision, Servers: listed}, began), began)
		r.UpdateOperatorSettings(fleet.OperatorSettings{Era: era, Revision: revision, DomainsOut: r.KeepKnownDomains(domains, era, began)}, began)
	}
	read(1, 10, 0, nil, server("ended", 1, false), server("leaving", 1, false), server("restarted", 1, false))
	read(1, 50, time.Second, []string{"out"}, server("leaving", 1, true), server("new", 1, false), server("restarted", 2, false))
	copied := []fleet.Server{server("ended", 1, false), server("leaving", 1, false), server("restarted", 1, false)}
	known := []fleet.Server{server("leaving", 1, true), server("new", 1, false), server("restarted", 2, false)}
	read(2, 20, 2*time.Second, nil, copied...)
	is.Equal(r.Snapshot().Servers, known)
	is.Equal(r.Snapshot().OperatorSettings.DomainsOut, []string{"out"})
	read(2, 21, 4900*time.Millisecond, []string{"other"}, copied...)
	is.Equal(r.Snapshot().Servers, known)
	is.Equal(r.Snapshot().OperatorSettings.DomainsOut, []string{"other", "out"})
	read(2, 22, 5*time.Second, []string{"other"}, copied...)
	is.Equal(r.Snapshot().Servers, copied)
	is.Equal(r.Snapshot().OperatorSettings.DomainsOut, []string{"other"})
}

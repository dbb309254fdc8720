package facts

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

func listing(revision uint64, servers ...fleet.Incarnation) fleet.Listing {
	l := fleet.Listing{Revision: revision}
	for _, s := range servers {
		l.Servers = append(l.Servers, fleet.Server{Incarnation: s, Address: fleet.Address(s.String())})
	}
	return l
}

// Guards against new work for a server that has said in a response that it is leaving,
// while its entry in the list says that it is ready, is missing or is listed again, and
// against a new incarnation that is taken for leaving.
func TestServerThatSaysItIsLeavingIsNotUsable(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	old, restarted := fleet.Incarnation{Name: "a", StartMS: 1}, fleet.Incarnation{Name: "a", StartMS: 2}
	undated, other := fleet.Incarnation{Name: "a"}, fleet.Incarnation{Name: "b", StartMS: 1}
	for _, tc := range []struct {
		name     string
		server   fleet.Incarnation
		listings []fleet.Listing
		usable   bool
	}{
		{"still listed", old, []fleet.Listing{listing(2, old, other)}, false},
		{"listed again after it was missing", old, []fleet.Listing{listing(2, other), listing(3, old)}, false},
		{"started again", old, []fleet.Listing{listing(2, restarted)}, true},
		{"start not reported, still listed", undated, []fleet.Listing{listing(2, undated, other)}, false},
		{"start not reported, listed again after it was missing", undated, []fleet.Listing{listing(2, other), listing(3, undated)}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry(nil, nil)
			r.UpdateListing(listing(1, tc.server), at)
			changed := r.Changed()
			is.True(r.ObserveSignal(tc.server, backpressure.Signal{Leaving: true}, at))
			<-changed // wakes the holder
			is.True(!r.Snapshot().Usable(r.Snapshot().Server("a")))
			for _, l := range tc.listings {
				r.UpdateListing(l, at.Add(time.Second))
			}
			is.Equal(r.Snapshot().Usable(r.Snapshot().Server("a")), tc.usable)
		})
	}
}

// Guards against states of ended servers that are kept for ever, and against one that is
// dropped because this instance does not know its server yet.
func TestBackpressureIsForgottenWithItsServer(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_700_000_000, 0)
	server, other := fleet.Incarnation{Name: "a", StartMS: 1}, fleet.Incarnation{Name: "b", StartMS: 1}
	r := NewRegistry(nil, nil)
	r.MergeBackpressure(server, backpressure.State{Leaving: true}, at)
	r.UpdateListing(listing(1, other), at.Add(time.Second))
	is.True(r.Snapshot().Backpressure.Of(server).Leaving)
	r.UpdateListing(listing(2), at.Add(2*formerServerRetention))
	is.True(!r.Snapshot().Backpressure.Of(server).Leaving)
}

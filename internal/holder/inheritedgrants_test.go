package holder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/quorum"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// claimRecord claims the record and returns the bound on grants of earlier holders. last
// names the last holder, and lastHolderBound is the bound on its grants, or 0 if it is unknown.
func claimRecord(t *testing.T, s *recordStore, last string, lastHolderBound time.Duration) time.Duration {
	t.Helper()
	found, err := s.claim(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return inheritedGrantsBound(predecessor{tenureName: last, grantsBound: lastHolderBound}, s.replacedTenure, found)
}

// Guards against a holder that takes proof that the last holder has ended for proof
// about the holder before it, which may still renew grants without the store.
func TestEndOfTheLastHolderProvesNothingAboutTheOneBefore(t *testing.T) {
	is := is.New(t)
	shared := memstore.New()
	holder := func(name string) *recordStore { return &recordStore{store: shared, tenureName: name} }
	unknownBound := maxStoreOutage + maxInheritedGrant

	first := holder("first")
	is.Equal(claimRecord(t, first, "", 0), time.Duration(0)) // no holder before it, so no grants
	services := map[string][]owners.RecordRange{"plots": {{From: 0, To: owners.NumKeys - 1, Owner: "a", StartMS: 1, Fence: 1}}}
	is.NoErr(first.write(context.Background(), owners.Record{Epoch: 1, Holder: "first", Services: services}))

	is.Equal(claimRecord(t, holder("second"), "first", maxInheritedGrant), maxInheritedGrant) // the process of the first holder has ended
	is.Equal(claimRecord(t, holder("third"), "second", maxInheritedGrant), unknownBound)      // the second holder ended before the grants of the first

	fourth := holder("fourth")
	is.Equal(claimRecord(t, fourth, "", 0), unknownBound) // the lease of the third holder has expired; its process may still run
	is.NoErr(fourth.write(context.Background(), owners.Record{Epoch: 4, Holder: "fourth", Services: services}))
	is.Equal(claimRecord(t, holder("fifth"), "fourth", maxInheritedGrant), maxInheritedGrant) // the fourth holder has waited for the grants of all earlier ones
}

// Guards against a holder that takes the end of a process that was elected, and ended before
// it claimed the record, for the end of the holder that wrote the record: that one may act
// without the store.
func TestEndOfAHolderWithoutARecordProvesNothing(t *testing.T) {
	is := is.New(t)
	shared := memstore.New()
	writer := &recordStore{store: shared, tenureName: "writer"}
	is.Equal(claimRecord(t, writer, "", 0), time.Duration(0))
	is.NoErr(writer.write(context.Background(), owners.Record{Epoch: 1, Holder: "writer"})) // no holder before it may act
	next := &recordStore{store: shared, tenureName: "next"}
	is.Equal(claimRecord(t, next, "elected", maxInheritedGrant), maxStoreOutage+maxInheritedGrant)
}

// Guards against a record with too small a fleet: if a holder stores only the few
// instances that have joined so far, its successor takes these few for most of the
// fleet and ends its wait for grants of the holder before both too early.
func TestFleetIsNotForgottenBeforeItHasJoined(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	found := quorum.Fleet{"entry-1", "entry-2", "entry-3", "entry-4"}
	c := &Coordinator{
		table:      owners.NewTable(owners.Record{Epoch: 3}, "second", now.Add(time.Second)),
		foundFleet: found,
		followers:  map[*link.Follower]bool{{Member: link.Member{Instance: "entry-2/K55N5AKH"}}: true},
	}
	is.Equal(c.fleetToRecord(now), found)
	is.Equal(c.fleetToRecord(now.Add(time.Second)), quorum.Fleet{"entry-2"}) // grants of earlier holders have ended, so the other instances are gone
}

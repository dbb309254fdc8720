package holder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// claimed claims the record for a holder whose predecessor's end is known to lie
// at most ofLast back, and returns the bound of foreign grants.
func claimed(t *testing.T, s *recordStore, ofLast time.Duration) time.Duration {
	t.Helper()
	found, err := s.claim(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return inheritedGrantsBound(ofLast, found)
}

// Guards against a holder that takes the proven end of the last holder for the end
// of the one before, which may still grant without the store.
func TestEndOfTheLastHolderProvesNothingAboutTheOneBefore(t *testing.T) {
	is := is.New(t)
	shared := memstore.New()
	holder := func(name string) *recordStore { return &recordStore{store: shared, tenureName: name} }
	anyone := maxStoreOutage + maxInheritedGrant

	first := holder("first")
	is.Equal(claimed(t, first, 0), time.Duration(0)) // nobody has granted anything
	services := map[string][]owners.RecordSpan{"plots": {{From: 0, To: owners.Keys - 1, Owner: "a", Born: 1, Fence: 1}}}
	is.NoErr(first.write(context.Background(), owners.Record{Epoch: 1, Holder: "first", Services: services}))

	is.Equal(claimed(t, holder("second"), maxInheritedGrant), maxInheritedGrant) // the process of the first has ended
	is.Equal(claimed(t, holder("third"), maxInheritedGrant), anyone)              // that of the second, which had not waited for the first

	fourth := holder("fourth")
	is.Equal(claimed(t, fourth, 0), anyone) // the lease of the third has ended, not its process
	is.NoErr(fourth.write(context.Background(), owners.Record{Epoch: 4, Holder: "fourth", Services: services}))
	is.Equal(claimed(t, holder("fifth"), maxInheritedGrant), maxInheritedGrant) // the fourth has waited
}

// Guards against a second successor that takes the few instances which had joined
// the first for most of the fleet, and no longer waits for the holder before both.
func TestFleetIsNotForgottenBeforeItHasJoined(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := &Coordinator{
		table:     owners.NewTable(owners.Record{Epoch: 3}, "second", now.Add(time.Second)),
		previousFleetSize: 12,
		followers: map[*link.Follower]bool{{}: true},
	}
	is.Equal(a.fleetSize(now), 12)
	is.Equal(a.fleetSize(now.Add(time.Second)), 1) // earlier holders grant no more: the others are gone
}

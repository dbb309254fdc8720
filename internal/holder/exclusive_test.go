package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

// Guards against cold servers and retries that two holders use at the same time: a successor
// is elected while all instances that the record names follow a holder without the store.
func TestSuccessorIsExclusiveOnceItsPredecessorIsNot(t *testing.T) {
	electedAt := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		fleet quorum.Fleet
		// joined is the instance that follows the successor since its election.
		joined          int
		lastHolderEnded bool
		exclusiveAfter  time.Duration
	}{
		"an instance of the fleet has joined": {newFleet(3), 1, false, leaseTTL + time.Millisecond},
		"a new instance has joined":           {newFleet(3), 4, false, maxStoreOutage + maxInheritedGrant},
		"the record names no fleet":           {nil, 1, false, maxStoreOutage + maxInheritedGrant},
		"the last holder has ended":           {newFleet(3), 4, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFollower(tc.joined)
			f.JoinedAt = electedAt
			c := &Coordinator{
				predecessorsEndBy: electedAt.Add(maxStoreOutage + maxInheritedGrant),
				table:             owners.NewTable(owners.Record{Epoch: 3}, "second", electedAt.Add(maxStoreOutage+maxInheritedGrant)),
				foundFleet:        tc.fleet, quorum: quorum.NewTracker(tc.fleet), lastHolderEnded: tc.lastHolderEnded,
				followers: map[*link.Follower]bool{f: true},
			}
			for after := time.Duration(0); after <= maxStoreOutage+maxInheritedGrant; after += time.Millisecond {
				now := electedAt.Add(after)
				c.leaseConfirmedAt.Store(&now)
				if got, want := c.exclusive(now), after >= tc.exclusiveAfter; got != want {
					t.Fatalf("exclusive: %v, %v after its election", got, after)
				}
			}
			is.True(c.exclusive(electedAt.Add(maxStoreOutage + maxInheritedGrant)))
		})
	}
}

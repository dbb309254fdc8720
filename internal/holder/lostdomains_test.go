package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

// Guards against two owners of a key while the failure domain of the holder is cut off: the
// links to the other domains end before the lease does, and the holder took the followers
// of its own domain for the whole fleet and went on beside its successor.
func TestHolderCutOffWithItsDomainStopsWithoutTheStore(t *testing.T) {
	for name, lost := range map[string]int{"two domains of three": 8, "one domain of three": 4} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			c := &Coordinator{
				table: owners.NewTable(owners.Record{Epoch: 2}, "h", now), records: &recordStore{tenureName: "h"},
				followers: map[*link.Follower]bool{}, quorum: quorum.NewTracker(newFleet(12)),
			}
			var far []*link.Follower
			for n := range 12 {
				f := newFollower(n)
				f.JoinedAt = now
				c.followers[f] = true
				if n < lost {
					far = append(far, f)
				}
			}
			c.leaseConfirmedAt.Store(&now)
			is.True(c.maySendOrders(now.Add(time.Second)))
			for _, f := range far {
				delete(c.followers, f)
			}
			c.maySendOrders(now.Add(2 * time.Second)) // the lease counts as confirmed a little longer
			for after := followerQuorumAfter + time.Millisecond; after < maxStoreOutage; after += tickInterval {
				for f := range c.followers {
					f.ProvedAt = now.Add(after)
				}
				is.Equal(c.maySendOrders(now.Add(after)), lost == 4)
			}
			is.True(!c.maySendOrders(now.Add(maxStoreOutage + time.Millisecond)))
		})
	}
}

package publish

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Guards against a failure domain that stays without a watcher after its watcher stopped,
// whether the lease was revoked or not.
func TestWatcherIsReplaced(t *testing.T) {
	for name, graceful := range map[string]bool{"stopped": true, "crashed": false} {
		t.Run(name, func(t *testing.T) {
			runNetwork(t, func(t *testing.T, n *network) {
				n.apply(1)
				for i := range 4 {
					n.start(i, "a")
				}
				n.awaitVersion(1, propagationTarget)
				time.Sleep(20 * time.Second)
				first := n.watcherOf("a")
				if !graceful {
					n.store.SetHooks(func(op, key string) error {
						if op == "revoke" {
							return store.ErrUnavailable
						}
						return nil
					}, nil)
				}
				n.remove(int(first[0] - '0'))
				time.Sleep(watcherLeaseTTL + 10*time.Second)
				if next := n.watcherOf("a"); next == first {
					t.Fatalf("the watcher is still %s", next)
				}
				n.apply(2)
				n.awaitVersion(2, propagationTarget)
			})
		})
	}
}

// watcherOf returns the instance named in the watcher's lease of the failure domain.
func (n *network) watcherOf(domain string) string {
	entry, err := n.store.Get(n.t.Context(), WatcherKey(domain))
	if err != nil {
		n.t.Fatalf("no watcher in %s: %v", domain, err)
	}
	return string(entry.Value)
}

// Guards against store calls that grow with the number of instances.
func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	count := func(instances int) (calls uint64) {
		runNetwork(t, func(t *testing.T, n *network) {
			n.apply(1)
			for i := range instances {
				n.start(i, "a")
			}
			n.awaitVersion(1, propagationTarget)
			time.Sleep(time.Minute)
			before := n.storeCalls()
			time.Sleep(2 * time.Minute)
			calls = n.storeCalls() - before
		})
		return calls
	}
	small, large := count(5), count(60)
	t.Logf("calls in 2 minutes: %d with 5 instances, %d with 60", small, large)
	// One renewal and one attempt per second, one watch and one read per 10 s.
	if limit := uint64(3 * 120); small > limit || large > limit {
		t.Errorf("calls in 2 minutes: %d with 5 instances, %d with 60, limit %d", small, large, limit)
	}
}

func (n *network) storeCalls() uint64 {
	synctest.Wait()
	total := uint64(0)
	for _, node := range n.nodes {
		total += node.StoreCalls()
	}
	return total
}

// Guards against two watchers at a time doing harm, as when the lease of a paused or
// partitioned watcher expires while it continues, and against both of them remaining.
func TestTwoWatchersAreHarmless(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		old := n.currentEntry()
		n.apply(2)
		for i := range 4 {
			n.start(i, "a")
		}
		n.awaitVersion(2, propagationTarget)
		time.Sleep(20 * time.Second)
		first := n.watcherOf("a")
		n.store.SetHooks(func(op, key string) error {
			if op == "renew" {
				return store.ErrUnavailable
			}
			return nil
		}, nil)
		time.Sleep(12 * time.Second) // the leases expire, but the watchers that had them continue
		is.True(n.watcherOf("a") != first)
		latest := n.currentEntry()
		n.store.Restore(old)
		time.Sleep(propagationTarget)
		is.Equal(n.currentEntry().Value, latest.Value)
		n.awaitVersion(2, 0)
		n.store.SetHooks(nil, nil)
		n.apply(3)
		n.awaitVersion(3, propagationTarget)
		time.Sleep(20 * time.Second)
		before := n.store.Calls("watch")
		time.Sleep(60 * time.Second)
		is.Equal(n.store.Calls("watch")-before, 6) // one watch of 10 s at a time
	})
}

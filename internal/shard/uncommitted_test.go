package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/key"
)

// Guards against keys that are not served for as long as the store is down or slow,
// although servers are left, because every server of the last commit is lost, leaving or
// out of service.
func TestRangeWithoutCommittedServersIsServed(t *testing.T) {
	for _, test := range []struct {
		name string
		// loseStore makes the next commit fail or last longer than maxUnavailability.
		loseStore func(s *fakeStore)
		// lose takes the committed servers of hash 3 out of use: its owner, which is in
		// failure domain d2, and its standbys in d1.
		lose func(tc *testCluster, owner *fakeServer)
	}{
		{"owner crashed, standbys out, store down", failStore, func(tc *testCluster, owner *fakeServer) {
			tc.withLock(func() { owner.setDown(true) })
			tc.setOutOfService("d1", true)
		}},
		{"owner frozen, standbys out, store down", failStore, func(tc *testCluster, owner *fakeServer) {
			tc.setOutOfService("d1", true)
			tc.withLock(func() { owner.setFrozen(true) })
		}},
		{"owner leaving, standbys out, store slow", delayStore, func(tc *testCluster, owner *fakeServer) {
			tc.setOutOfService("d1", true)
			tc.withLock(func() { owner.leaving = true })
		}},
		{"owner, standbys and holder lost, store down", failStore, func(tc *testCluster, owner *fakeServer) {
			next := tc.addInstance()
			tc.withLock(func() {
				owner.setFrozen(true)
				tc.servers[1].setFrozen(true)
				tc.servers[4].setDown(true)
				tc.servers[7].setFrozen(true)
			})
			tc.currentHolder.cancel()
			tc.replaceHolder(next)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
				is := is.New(t)
				h := tc.sampledHashes[3]
				committed := tc.commitWithoutD0(is, h, test.loseStore)
				test.lose(tc, tc.server(committed.Owner))
				time.Sleep(2 * time.Second)
				next := tc.ownerName(h)
				t.Logf("longest gap %v, served by %q, committed %v", tc.maxGap(), next, committed)
				is.True(next != "" && !committed.HasStandby(next) && next != committed.Owner)
				is.True(tc.maxGap() <= maxUnavailability)
			})
		})
	}
}

// commitWithoutD0 makes the last commit of the range of h name only servers in d2 and d1:
// d0 is out of service at that time, and returns once the store is lost.
func (tc *testCluster) commitWithoutD0(is *is.I, h key.Hash, loseStore func(*fakeStore)) assign.Range {
	tc.waitUntilServed()
	tc.setOutOfService("d0", true)
	time.Sleep(2 * time.Second)
	committed := tc.committedRange(h)
	is.Equal(tc.domainOf(committed.Owner), "d2")
	is.Equal(tc.domainOf(committed.FirstStandby), "d1")
	is.Equal(tc.domainOf(committed.SecondStandby), "d1")
	loseStore(tc.store)
	tc.setOutOfService("d0", false)
	tc.waitUntilServed()
	return committed
}

// Guards against a committed owner that loses its ranges when it restarts, although it
// answers and only servers that are not committed are left besides.
func TestRestartedOwnerKeepsRangeWithoutStandbys(t *testing.T) {
	withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		h := tc.sampledHashes[3]
		committed := tc.commitWithoutD0(is, h, failStore)
		tc.setOutOfService("d1", true)
		tc.withLock(func() { tc.server(committed.Owner).setDown(true) })
		time.Sleep(400 * time.Millisecond) // silent, and its grant has not expired
		tc.withLock(func() { tc.server(committed.Owner).setDown(false) })
		time.Sleep(500 * time.Millisecond)
		is.Equal(tc.ownerName(h), committed.Owner)
	})
}

// Guards against a new holder that gives ranges to servers that are not committed for
// them, only because those answer its first calls earlier than the committed ones.
func TestTakeoverPrefersCommittedServers(t *testing.T) {
	withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		tc.store.setDown(true)
		tc.setOutOfService("d0", true)
		time.Sleep(time.Second)
		next := tc.addInstance()
		tc.withLock(func() {
			tc.servers[1].oneWayDelay = 50 * time.Millisecond
			tc.servers[4].oneWayDelay = 50 * time.Millisecond
		})
		tc.currentHolder.cancel()
		tc.replaceHolder(next)
		time.Sleep(time.Second)
		for _, h := range tc.sampledHashes {
			committed, name := tc.committedRange(h), tc.ownerName(h)
			is.True(name == committed.Owner || committed.HasStandby(name))
		}
	})
}

func failStore(s *fakeStore)  { s.setDown(true) }
func delayStore(s *fakeStore) { s.setLatency(2900 * time.Millisecond) }

package shard

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/route"
)

// enterRequests starts one request in the range of each sampled hash.
func (tc *testCluster) enterRequests(is *is.I) []*route.RangeRef {
	var refs []*route.RangeRef
	for _, h := range tc.sampledHashes {
		ref, _ := route.Acquire(tc.currentHolder.runtime.Views(), h)
		is.True(ref != nil) // all ranges are open
		refs = append(refs, ref)
	}
	return refs
}

// Guards against a move that waits for a long upload while the other requests of the
// range are blocked, and against a postponed move that is never retried.
func TestMoveIsPostponedForLongUpload(t *testing.T) {
	withTestCluster(t, 6, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		uploads := tc.enterRequests(is)
		tc.addServer("s99", "d0")
		time.Sleep(20 * time.Second)
		is.True(tc.maxGap() <= drainTimeout+10*time.Millisecond) // blocked only until drainTimeout
		is.Equal(tc.ownedBy("s99"), 0)
		for _, upload := range uploads {
			upload.Release()
		}
		time.Sleep(60 * time.Second) // longer than the longest backoff
		is.True(tc.ownedBy("s99") > 0)
	})
}

// A move without requests in flight takes two round trips.
func TestMoveGap(t *testing.T) {
	withTestCluster(t, 6, func(t *testing.T, tc *testCluster) {
		tc.waitUntilServed()
		tc.addServer("s99", "d0")
		time.Sleep(20 * time.Second)
		is := is.New(t)
		is.True(tc.ownedBy("s99") > 0)
		is.True(tc.maxGap() <= maxMoveGap)
		t.Logf("longest gap of a move %v", tc.maxGap())
	})
}

// A failure domain that is taken out of service gets no new requests, and its requests
// in flight end normally, whether the store is available or not. Guards against
// requests that are cut off and against new requests that still reach the domain.
func TestDomainOutWithRequestsInFlight(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
			is := is.New(t)
			tc.waitUntilServed()
			tc.store.setDown(storeDown)
			uploads := tc.enterRequests(is)
			tc.setOutOfService("d1", true)
			time.Sleep(5 * time.Second)
			for i, upload := range uploads {
				owner := tc.server(upload.Range.Owner.Name)
				tc.withLock(func() { is.True(owner.accepts(tc.sampledHashes[i])) }) // still owned: the request was not cut off
				if tc.domainOf(owner.name) == "d1" {
					ref, _ := route.Acquire(tc.currentHolder.runtime.Views(), tc.sampledHashes[i])
					is.True(ref == nil) // no new request gets in
				}
				upload.Release()
			}
			time.Sleep(time.Second)
			for _, h := range tc.sampledHashes {
				is.True(tc.domainOf(tc.ownerName(h)) != "d1")
			}
		})
	}
}

// The ranges of a leaving server move like those of one that is taken out of service.
func TestLeavingServer(t *testing.T) {
	withTestCluster(t, 6, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		leaving := tc.ownerOf(tc.sampledHashes[7])
		tc.withLock(func() { leaving.leaving = true })
		time.Sleep(2 * time.Second)
		is.Equal(tc.ownedBy(leaving.name), 0)
		is.True(tc.maxGap() <= maxMoveGap)
		for _, target := range tc.currentHolder.runtime.Views().Load().Targets {
			is.True(target.Name != leaving.name)
		}
	})
}

// Quiesce returns once the last request has ended, and blocks new ones.
func TestQuiesce(t *testing.T) {
	withTestCluster(t, 6, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		ref, _ := route.Acquire(tc.currentHolder.runtime.Views(), tc.sampledHashes[0])
		done := make(chan error, 1)
		go func() { done <- tc.currentHolder.runtime.Quiesce(context.Background()) }()
		time.Sleep(time.Second)
		late, newerView := route.Acquire(tc.currentHolder.runtime.Views(), tc.sampledHashes[1])
		is.True(late == nil && newerView != nil)
		is.Equal(len(done), 0) // one request is still in flight
		ref.Release()
		time.Sleep(time.Millisecond)
		is.Equal(len(done), 1)
		is.NoErr(<-done)
	})
}

// The servers of a service without keys are listed by their state and get no ranges.
func TestServiceWithoutKeys(t *testing.T) {
	withTestCluster(t, 6, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.unkeyed = true
		tc.setOutOfService("d2", true)
		tc.withLock(func() { tc.servers[0].setFrozen(true) })
		time.Sleep(time.Second)
		names := ""
		for _, target := range tc.currentHolder.runtime.Views().Load().Targets {
			names += target.Name + " "
		}
		is.Equal(names, "s01 s03 s04 ") // s00 is frozen, s02 and s05 are out
	})
}

// addServer adds a server to the settings of all instances.
func (tc *testCluster) addServer(name, domain string) {
	tc.withLock(func() {
		tc.servers = append(tc.servers, &fakeServer{
			cluster: tc, name: name, startedAt: time.Now(), incarnation: "1", oneWayDelay: 1500 * time.Microsecond,
		})
	})
	tc.settings = append(tc.settings, ServerConfig{Name: name, Domain: domain, Address: name, Slots: 3})
	tc.setOutOfService(fmt.Sprintf("no domain %s", name), false)
}

// ownedBy counts the sampled hashes that the server serves.
func (tc *testCluster) ownedBy(name string) int {
	count := 0
	for _, h := range tc.sampledHashes {
		if owner := tc.ownerOf(h); owner != nil && owner.name == name {
			count++
		}
	}
	return count
}

// While no server is left to move to, the ranges of servers out of service stay
// blocked. Guards against new work for a domain that was taken out of service.
func TestNoNewWorkWhenAllAreOut(t *testing.T) {
	withTestCluster(t, 6, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		for _, domain := range []string{"d0", "d1", "d2"} {
			tc.setOutOfService(domain, true)
		}
		time.Sleep(2 * time.Second)
		for _, h := range tc.sampledHashes {
			ref, newerView := route.Acquire(tc.currentHolder.runtime.Views(), h)
			is.True(ref == nil && newerView != nil)
		}
		tc.setOutOfService("d1", false)
		time.Sleep(time.Second)
		is.Equal(tc.domainOf(tc.ownerName(tc.sampledHashes[0])), "d1")
	})
}

// A failure domain leaves and returns. No key may be without service for longer than a
// move takes, and the servers of the domain, which start cold, must get ranges again.
func TestDomainLeavesAndReturns(t *testing.T) {
	withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		tc.setOutOfService("d1", true)
		time.Sleep(3 * time.Second)
		out := tc.maxGap()
		tc.waitUntilServed()
		tc.setOutOfService("d1", false)
		time.Sleep(time.Second)
		for _, status := range tc.currentHolder.runtime.Status().Servers {
			is.True(status.State != "cold" || status.Ranges <= 1)
		}
		time.Sleep(30 * time.Second)
		for _, status := range tc.currentHolder.runtime.Status().Servers {
			is.True(status.Ranges >= 4) // half of an even share
		}
		is.True(out <= 50*time.Millisecond && tc.maxGap() <= 50*time.Millisecond)
		t.Logf("longest gap while the domain left %v, while it returned %v", out, tc.maxGap())
	})
}

// Guards against ranges that move to a standby because the server they were about to
// move to is lost, although their owner still serves them.
func TestMoveToLostServerIsCancelled(t *testing.T) {
	withTestCluster(t, 6, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		before, _ := tc.store.committed()
		tc.sampleStarts(before)
		uploads := tc.enterRequests(is)
		tc.addServer("s99", "d0")
		time.Sleep(time.Second)
		is.True(tc.currentHolder.runtime.Status().MovesPostponed > 0)
		tc.withLock(func() { tc.server("s99").setDown(true) })
		time.Sleep(5 * time.Second)
		for _, upload := range uploads {
			upload.Release()
		}
		time.Sleep(60 * time.Second) // longer than the longest backoff
		for _, r := range before.Ranges {
			is.Equal(tc.ownerName(r.Bounds.Start), r.Owner)
		}
	})
}

// sampleStarts replaces the sampled hashes with the first hash of each range.
func (tc *testCluster) sampleStarts(a assign.Assignment) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.sampledHashes = nil
	for _, r := range a.Ranges {
		tc.sampledHashes = append(tc.sampledHashes, r.Bounds.Start)
	}
}

// Guards against a departure that waits for a server that has just become unresponsive.
func TestDepartureAvoidsUnresponsiveTarget(t *testing.T) {
	withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		tc.store.setDown(true)
		committed := tc.committedRange(tc.sampledHashes[4])
		tc.withLock(func() { tc.server(committed.FirstStandby).setDown(true) })
		time.Sleep(200 * time.Millisecond) // unresponsive, not yet lost
		tc.withLock(func() { tc.server(committed.Owner).leaving = true })
		time.Sleep(200 * time.Millisecond)
		is.Equal(tc.ownerName(tc.sampledHashes[4]), committed.SecondStandby)
	})
}

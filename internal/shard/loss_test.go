package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/route"
)

// maxUnavailability is how long a key may be without service after a loss, by the
// design page.
const maxUnavailability = time.Second

// maxMoveGap is how long a key may be without service during a move without requests in
// flight: two round trips of 3 ms and one awaited renewal.
const maxMoveGap = 15 * time.Millisecond

// failureModes are the ways in which a server stops answering.
var failureModes = []struct {
	name string
	lose func(s *fakeServer)
}{
	{"crash", func(s *fakeServer) { s.setDown(true) }},
	{"freeze", func(s *fakeServer) { s.setFrozen(true) }},
}

// A lost owner is replaced by its standby within a second, whether the store is
// available or not. Guards against a replacement that waits for a write to the store.
func TestLostOwnerIsReplaced(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		for i := range 10 {
			loss, phase := failureModes[i%2], time.Duration(i/2)*30*time.Millisecond
			withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
				is := is.New(t)
				tc.waitUntilServed()
				time.Sleep(phase) // of the renewal interval
				h := tc.sampledHashes[5]
				lost := tc.ownerOf(h)
				is.True(lost != nil) // the key was served before the loss
				tc.store.setDown(storeDown)
				tc.withLock(func() { loss.lose(lost) })
				time.Sleep(2 * time.Second)
				next := tc.ownerOf(h)
				is.True(next != nil && next != lost)
				is.True(tc.maxGap() > 0 && tc.maxGap() <= maxUnavailability)
				t.Logf("%s %v into the interval, store down %v: longest gap %v", loss.name, phase, storeDown, tc.maxGap())
			})
		}
	}
}

// Guards against a replacement that gives up the second standby because the first one
// is lost too.
func TestTwoServersLostWithinASecond(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 950 * time.Millisecond} {
		withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
			is := is.New(t)
			tc.waitUntilServed()
			tc.store.setDown(true)
			committed := tc.committedRange(tc.sampledHashes[9])
			tc.withLock(func() { tc.server(committed.Owner).setFrozen(true) })
			time.Sleep(delay)
			tc.withLock(func() { tc.server(committed.FirstStandby).setFrozen(true) })
			tc.resetGaps() // the time counts from the second loss
			time.Sleep(maxUnavailability)
			is.Equal(tc.ownerName(tc.sampledHashes[9]), committed.SecondStandby)
			time.Sleep(2 * time.Second)
			t.Logf("%v apart: longest gap after the second loss %v", delay, tc.maxGap())
		})
	}
}

// Guards against a new holder that waits for an owner that was lost together with the
// old holder.
func TestHolderAndServerLostTogether(t *testing.T) {
	for i := range 10 {
		storeDown, phase := i%2 == 1, time.Duration(i/2)*30*time.Millisecond
		withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
			is := is.New(t)
			tc.waitUntilServed()
			time.Sleep(phase)
			next := tc.addInstance()
			tc.store.setDown(storeDown)
			committed := tc.committedRange(tc.sampledHashes[20])
			tc.withLock(func() { tc.server(committed.Owner).setFrozen(true) })
			tc.currentHolder.cancel()
			tc.replaceHolder(next)
			time.Sleep(2 * time.Second)
			is.True(committed.HasStandby(tc.ownerName(tc.sampledHashes[20])))
			is.True(tc.maxGap() <= maxUnavailability)
			t.Logf("%v into the interval, store down %v: longest gap %v", phase, storeDown, tc.maxGap())
		})
	}
}

// A restarted server holds no grant: its keys move to standbys at once, and grants
// addressed to its earlier incarnation have no effect on its new clock.
func TestRestartedServerHoldsNothing(t *testing.T) {
	withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		committed := tc.committedRange(tc.sampledHashes[17])
		tc.withLock(func() {
			owner := tc.server(committed.Owner)
			owner.setDown(true)
			owner.setDown(false)
		})
		time.Sleep(500 * time.Millisecond)
		is.Equal(tc.ownerName(tc.sampledHashes[17]), committed.FirstStandby)
		is.True(tc.maxGap() <= 300*time.Millisecond) // a renewal interval and some round trips
	})
}

// Until orders of the old holder must have been delivered, a new holder only reads the
// clocks of servers that do not check tokens. Guards against a takeover without that
// wait, and against one that makes the other servers wait too.
func TestTakeoverWaitsForDelivery(t *testing.T) {
	withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		next := tc.addInstance()
		tc.replaceHolder(next)
		time.Sleep(190 * time.Millisecond)
		view := next.runtime.Views().Load()
		is.Equal(len(view.Targets), 6) // the servers that check tokens
		for _, s := range tc.servers {
			tc.withLock(func() { is.Equal(s.clock() < s.grantedUntil, s.checksTokens) })
		}
		time.Sleep(20 * time.Millisecond)
		is.Equal(len(next.runtime.Views().Load().Targets), 9)
		is.True(tc.ownerName(tc.sampledHashes[2]) != "")
	})
}

// Requests that hang at a lost owner do not delay a later move of the range.
func TestLostRequestsDoNotBlockMoves(t *testing.T) {
	withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		committed := tc.committedRange(tc.sampledHashes[5])
		ref, _ := route.Acquire(tc.currentHolder.runtime.Views(), tc.sampledHashes[5])
		defer ref.Release()
		tc.withLock(func() { tc.server(committed.Owner).setFrozen(true) })
		time.Sleep(time.Second)
		is.Equal(tc.ownerName(tc.sampledHashes[5]), committed.FirstStandby)
		tc.setOutOfService(tc.domainOf(committed.FirstStandby), true)
		time.Sleep(100 * time.Millisecond)
		next := tc.ownerName(tc.sampledHashes[5]) // the planner may have committed other standbys after the loss
		is.True(next != "" && next != committed.Owner && tc.domainOf(next) != tc.domainOf(committed.FirstStandby))
	})
}

// A changed address means another process. What the old process was granted must expire
// before the range is granted elsewhere, although no messages are sent to it any more.
func TestAddressChanges(t *testing.T) {
	withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		committed := tc.committedRange(tc.sampledHashes[5])
		tc.addServer("moved", "d0") // the process that gets the name
		tc.settings = tc.settings[:9]
		for i := range tc.settings {
			if tc.settings[i].Name == committed.Owner {
				tc.settings[i].Address = "moved"
			}
		}
		tc.setOutOfService("none", false)
		time.Sleep(maxUnavailability)
		is.True(tc.ownerName(tc.sampledHashes[5]) != "")
		is.True(tc.ownerName(tc.sampledHashes[5]) != committed.Owner)
	})
}

// The status counts what happened during the tenure.
func TestStatus(t *testing.T) {
	withTestCluster(t, 6, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		is.Equal(tc.currentHolder.runtime.Status().Ranges, 48)
		is.Equal(tc.currentHolder.runtime.Status().BlockedRanges, 0)
		tc.store.setDown(true)
		tc.withLock(func() { tc.servers[0].setDown(true) })
		time.Sleep(2 * time.Second)
		status := tc.currentHolder.runtime.Status()
		is.Equal(status.OwnersReplaced, uint64(8))
		is.True(status.Uncommitted)
		is.Equal(status.Servers[0], ServerStatus{Name: "s00", State: "lost"})
	})
}

package shard

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// handOverTo releases the shard early: the next holder need not wait for the end of any
// promise.
func (tc *testCluster) handOverTo(is *is.I, next *fakeInstance) {
	old := tc.currentHolder
	_, err := old.runtime.RevokeGrants(context.Background())
	is.NoErr(err)
	close(old.cutOff)
	old.setTenure(nil)
	tc.elect(next)
}

// Guards against a hand-over that leaves grants in force: the next holder, with an
// older copy of the assignment, then grants ranges that have moved since to their
// former owners. In the demo, 5 ranges had two owners.
func TestHandOverToAHolderWithAnOlderAssignment(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		withTestCluster(t, 6, func(t *testing.T, tc *testCluster) {
			is := is.New(t)
			next := tc.addInstance()
			tc.waitUntilServed()
			older, _ := tc.store.committed()
			tc.setOutOfService("d1", true)
			time.Sleep(2 * time.Second)
			tc.store.setDown(true)
			tc.store.setAssignment(older)
			tc.resetGaps()
			if frozen {
				owner := tc.ownerOf(tc.sampledHashes[0])
				tc.withLock(func() { owner.resume = make(chan struct{}) })
				defer tc.withLock(func() {
					close(owner.resume)
					owner.resume = nil
				})
			}
			tc.handOverTo(is, next)
			time.Sleep(3 * time.Second)
			for _, h := range tc.sampledHashes {
				is.True(tc.ownerName(h) != "")
			}
			is.True(tc.maxGap() <= time.Second)
			t.Logf("frozen %v: longest gap of a hand-over %v", frozen, tc.maxGap())
		})
	}
}

// Guards against a hand-over that waits for grants of a service without keys, which has
// none, also when servers are taken out of service at the same moment.
func TestRevokeGrantsWithoutKeys(t *testing.T) {
	withTestCluster(t, 3, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		time.Sleep(time.Second)
		tc.unkeyed = true
		tc.currentHolder.runtime.options.Config.Set(tc.config())
		time.Sleep(time.Second)
		tc.setOutOfService("d1", true)
		start := time.Now()
		_, err := tc.currentHolder.runtime.RevokeGrants(context.Background())
		is.NoErr(err)
		is.True(time.Since(start) <= 10*time.Millisecond)
	})
}

// Guards against a hand-over that releases the promises because the runtime stopped while
// a server still had its grant.
func TestInterruptedRevocationFails(t *testing.T) {
	withTestCluster(t, 6, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		tc.withLock(func() { tc.servers[0].setFrozen(true) })
		holder := tc.currentHolder
		time.AfterFunc(100*time.Millisecond, holder.cancel)
		_, err := holder.runtime.RevokeGrants(context.Background())
		is.True(errors.Is(err, ErrRevocationInterrupted))
	})
}

// Guards against a shard that serves nothing any more after a hand-over that was given up,
// while its holder keeps it.
func TestCancelledRevocationServesAgain(t *testing.T) {
	withTestCluster(t, 6, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		tc.withLock(func() { tc.servers[0].setFrozen(true) })
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := tc.currentHolder.runtime.RevokeGrants(ctx)
		is.True(errors.Is(err, context.DeadlineExceeded))
		time.Sleep(time.Second)
		for _, h := range tc.sampledHashes {
			is.True(tc.ownerName(h) != "")
		}
		since, err := tc.currentHolder.runtime.RevokeGrants(context.Background())
		is.NoErr(err)
		is.Equal(since, tc.currentHolder.Tenure().Since)
		for _, s := range tc.servers {
			tc.withLock(func() { is.True(s.clock() >= s.grantedUntil || len(s.ranges) == 0) })
		}
	})
}

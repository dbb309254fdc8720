package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/key"
)

// A key with most of the requests gets a range of its own without a gap in service, and
// the range is merged after the key has cooled down. Guards against samples or rates
// that get lost between the requests and the planner.
func TestHotKeyGetsItsOwnRange(t *testing.T) {
	withTestCluster(t, 6, func(t *testing.T, tc *testCluster) {
		is := is.New(t)
		tc.waitUntilServed()
		hot := tc.sampledHashes[8] + 5
		tc.withLock(func() { tc.sampledHashes = append(tc.sampledHashes, hot) })
		run := &historyRun{cluster: tc}
		for range 3 {
			run.sendHotKeyRequests(hot)
		}
		is.Equal(tc.currentHolder.runtime.Views().Load().Find(hot).Bounds, key.Single(hot))
		is.True(tc.maxGap() <= 50*time.Millisecond)
		time.Sleep(150 * time.Second) // the cooldown of 120 s and the decay of the rate
		is.True(!tc.currentHolder.runtime.Views().Load().Find(hot).Bounds.IsSingle())
	})
}

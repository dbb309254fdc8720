package shard

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Measures for each key how long it is not served after the loss of a server, and
// compares it with a holder that waits for a write to the store. The store outage ends
// after 5 s.
func TestUnavailableTimeAgainstNaive(t *testing.T) {
	const outage = 5 * time.Second
	for _, storeDown := range []bool{false, true} {
		runtimeGaps := unavailabilityGaps(t, storeDown, outage, false)
		naiveGaps := unavailabilityGaps(t, storeDown, outage, true)
		is := is.New(t)
		is.True(len(runtimeGaps) > 0 && len(naiveGaps) > 0) // keys of the lost server were sampled
		is.True(slices.Max(runtimeGaps) <= maxUnavailability)
		is.Equal(slices.Max(naiveGaps) > outage-time.Second, storeDown) // the naive holder waits for the store
		t.Logf("store down %v: unavailable min %v max %v, naive min %v max %v",
			storeDown, slices.Min(runtimeGaps), slices.Max(runtimeGaps), slices.Min(naiveGaps), slices.Max(naiveGaps))
	}
}

// unavailabilityGaps returns the longest gap of each key that had one, for losses at
// several phases of the renewal interval.
func unavailabilityGaps(t *testing.T, storeDown bool, outage time.Duration, naive bool) []time.Duration {
	var gaps []time.Duration
	for phase := time.Duration(0); phase < renewInterval; phase += 30 * time.Millisecond {
		withTestCluster(t, 9, func(t *testing.T, tc *testCluster) {
			tc.waitUntilServed()
			if naive {
				tc.switchToNaiveHolder()
			}
			time.Sleep(phase)
			tc.store.setDown(storeDown)
			tc.withLock(func() { tc.servers[4].setFrozen(true) })
			time.Sleep(outage)
			tc.store.setDown(false)
			time.Sleep(3 * time.Second)
			tc.withLock(func() {
				for _, gap := range tc.gaps {
					gaps = append(gaps, gap)
				}
			})
		})
	}
	return gaps
}

// switchToNaiveHolder replaces the runtime with the naive holder.
func (tc *testCluster) switchToNaiveHolder() {
	tc.currentHolder.cancel()
	time.Sleep(time.Second)
	tc.withLock(func() { tc.naiveMode = true })
	tc.goroutines.Go(tc.runNaiveHolder)
	tc.waitUntilServed()
}

package holder

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff is the wait after a failed call; the fleet's calls are counted.
func backoff() time.Duration {
	return storeRetryDelay*3 + time.Duration(rand.Int64N(int64(storeRetryDelay*2)))
}

// fleetBackoff is backoff for one of several instances that all try the same, so that
// the fleet's calls do not grow with it. Instances that failed together try again
// spread over time from the usual pause on, since news must not wait for the last.
func fleetBackoff(instances int) time.Duration {
	wait := backoff()
	if spread := float64(instances)/backoffFleetSize - 1; spread > 0 {
		wait += time.Duration(rand.Float64() * 2 * spread * float64(backoff()))
	}
	return wait
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

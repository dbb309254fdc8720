package holder

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff is the wait after a failed call; the fleet's calls are counted.
func backoff() time.Duration {
	return storeRetry*3 + time.Duration(rand.Int64N(int64(storeRetry*2)))
}

// backoffOf is backoff for one of several instances that all try the same, so that
// the fleet's calls do not grow with it.
func backoffOf(instances int) time.Duration {
	return time.Duration(max(1, float64(instances)/instancesPerTry) * float64(backoff()))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

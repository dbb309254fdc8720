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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

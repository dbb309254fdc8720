package holder

import (
	"context"
	"math/rand/v2"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
)

// backoff returns the wait after a failed call to the store. It is random and longer
// than storeRetryDelay, since the number of calls of the whole fleet is limited.
func backoff() time.Duration {
	return storeRetryDelay*3 + time.Duration(rand.Int64N(int64(storeRetryDelay*2)))
}

// FleetBackoff returns the wait of one of several instances that all retry the same
// call. It grows with the number of instances, so that the call rate of the fleet does
// not. Instances that failed together retry at times spread from the usual wait
// upwards, since changes would be known late if all of them waited long.
func FleetBackoff(instances int) time.Duration {
	wait := backoff()
	if excess := float64(instances)/backoffFleetSize - 1; excess > 0 {
		wait += time.Duration(rand.Float64() * 2 * excess * float64(backoff()))
	}
	return wait
}

// ReadBackoff returns how long requests of this instance begin no reading of the store after one
// that failed. While it is the holder or follows one, all instances together try often enough.
func (e *Elector) ReadBackoff() facts.Backoff {
	return facts.Backoff{
		InFleet: func() time.Duration { return FleetBackoff(e.client.FleetSize()) },
		Alone:   backoff,
		IsAlone: func() bool { return e.current.Load() == nil },
	}
}

// sleep waits for d, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

package holder

import (
	"context"
	"time"
)

// readStorePeriodically reads the facts from the store for the whole fleet.
func (e *Elector) readStorePeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		interval := storeReadInterval
		if e.reader.Read(ctx) != nil {
			interval = storeRetryDelay
		}
		sleep(ctx, max(minStoreReadPause, interval-time.Since(began)))
	}
}

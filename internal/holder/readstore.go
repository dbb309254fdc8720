package holder

import (
	"context"
	"sync"
	"time"
)

const (
	// storeReadInterval is the time from the beginning of a read of the store to that of
	// the next one, so that slow reads do not make the facts older. All instances must
	// know of a leaving server or a new configuration within two seconds.
	storeReadInterval = 600 * time.Millisecond
	// slowReadDelay is the time from the beginning of a read to that of the next one if the
	// first has failed or is not answered by then. A healthy store answers in milliseconds.
	slowReadDelay = 300 * time.Millisecond
	// maxOverlappingReads bounds the reads under way. A read without an answer ends within
	// the time in which as many begin.
	maxOverlappingReads = 3
)

// readStorePeriodically reads the facts from the store for the whole fleet. Reads overlap, so
// that a slow or failed one does not delay the next.
func (e *Elector) readStorePeriodically(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	slots := make(chan struct{}, maxOverlappingReads)
	for ctx.Err() == nil {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		began := time.Now()
		succeeded := make(chan struct{})
		reads.Go(func() {
			if e.reader.Read(ctx) == nil {
				close(succeeded)
			}
			<-slots
		})
		slow := time.NewTimer(slowReadDelay)
		select {
		case <-succeeded:
			sleep(ctx, storeReadInterval-time.Since(began))
		case <-slow.C:
		case <-ctx.Done():
		}
		slow.Stop()
	}
}

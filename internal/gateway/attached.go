package gateway

import (
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/link"
)

// attached is the link in use with what is known of its health.
type attached struct {
	link.Link
	until atomic.Pointer[time.Time]
}

func (a *attached) suspectUntil(t time.Time) {
	a.until.Store(&t)
}

// suspect reports whether the holder should not be asked at now.
func (a *attached) suspect(now time.Time) bool {
	select {
	case <-a.Done():
		return true
	default:
	}
	until := a.until.Load()
	return until != nil && now.Before(*until)
}

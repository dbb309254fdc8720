package gateway

import (
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/link"
)

// activeLink is the link in use with what is known of its health.
type activeLink struct {
	link.Link
	backoffUntil atomic.Pointer[time.Time]
}

func (a *activeLink) setBackoff(t time.Time) {
	a.backoffUntil.Store(&t)
}

// unavailable reports whether the holder should not be asked at now.
func (a *activeLink) unavailable(now time.Time) bool {
	select {
	case <-a.Done():
		return true
	default:
	}
	until := a.backoffUntil.Load()
	return until != nil && now.Before(*until)
}

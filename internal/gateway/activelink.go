package gateway

import (
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/link"
)

// activeLink is the link to the holder that is in use, with its backoff.
type activeLink struct {
	link.Link
	backoffUntil atomic.Pointer[time.Time]
}

func (l *activeLink) setBackoff(until time.Time) {
	l.backoffUntil.Store(&until)
}

// unavailable reports whether the link has ended or is in backoff at now.
func (l *activeLink) unavailable(now time.Time) bool {
	select {
	case <-l.Done():
		return true
	default:
	}
	until := l.backoffUntil.Load()
	return until != nil && now.Before(*until)
}

package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// streamedPeriod is how long a route counts as one with long responses after the last of them.
const streamedPeriod = 10 * time.Minute

// streamedRoutes remembers which routes have had responses that were streamed. It is safe for
// concurrent use.
type streamedRoutes struct {
	// last holds when the last one began, in Unix nanoseconds.
	last sync.Map // route name to *atomic.Int64
}

// record notes a response of the route that is streamed.
func (s *streamedRoutes) record(route string, now time.Time) {
	at, _ := s.last.LoadOrStore(route, new(atomic.Int64))
	at.(*atomic.Int64).Store(now.UnixNano())
}

// isRecent reports whether a response of the route was streamed lately.
func (s *streamedRoutes) isRecent(route string, now time.Time) bool {
	at, known := s.last.Load(route)
	return known && now.Sub(time.Unix(0, at.(*atomic.Int64).Load())) < streamedPeriod
}

package gateway

import (
	"sync"
	"time"
)

// streamedPeriod is how long a route counts as one with long responses after the last of them.
const streamedPeriod = 10 * time.Minute

// streamedRoutes remembers which routes have had responses that were streamed. It is safe for
// concurrent use.
type streamedRoutes struct {
	// last holds when the last one began.
	last sync.Map // route name to time.Time
}

// record notes a response of the route that is streamed.
func (s *streamedRoutes) record(route string, now time.Time) {
	s.last.Store(route, now)
}

// isRecent reports whether a response of the route was streamed lately.
func (s *streamedRoutes) isRecent(route string, now time.Time) bool {
	at, known := s.last.Load(route)
	return known && now.Sub(at.(time.Time)) < streamedPeriod
}

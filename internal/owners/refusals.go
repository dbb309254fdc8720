package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

const (
	// minRefusals in a row, over refusedFor, a server that runs no request has
	// ended. A full server refuses connections too, but it is at work.
	minRefusals      = 2
	minRefusalPeriod = 250 * time.Millisecond
)

// RefusalTracker tells servers that have ended from those that take no more connections.
type RefusalTracker struct {
	seen map[fleet.Incarnation]refusalCount
}

// Classify returns the reply with Refused replaced by Gone once the life has
// provably ended. idle reports that no request runs at the server.
func (r *RefusalTracker) Classify(reply OrderResult, idle bool) OrderResult {
	life := reply.Order.Server
	if reply.Outcome != OutcomeRefused || !idle {
		delete(r.seen, life)
		return reply
	}
	if r.seen == nil {
		r.seen = map[fleet.Incarnation]refusalCount{}
	}
	seen, ok := r.seen[life]
	if !ok {
		seen.since = reply.Ended
	}
	seen.count++
	r.seen[life] = seen
	if seen.count >= minRefusals && reply.Ended.Sub(seen.since) >= minRefusalPeriod {
		reply.Outcome = OutcomeProcessEnded
	}
	return reply
}

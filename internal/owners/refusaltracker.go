package owners

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

const (
	// minRefusals consecutive refusals over at least minRefusalPeriod prove that a server
	// without running requests has ended. A server at its connection limit refuses
	// connections too, but it has requests running.
	minRefusals      = 2
	minRefusalPeriod = 250 * time.Millisecond
)

// RefusalTracker distinguishes servers that have ended from those that accept no
// more connections.
type RefusalTracker struct {
	seen map[fleet.Incarnation]refusalCount
}

// Classify returns the result with OutcomeRefused replaced by OutcomeProcessEnded if
// the incarnation has provably ended. idle reports that no request runs at the server.
func (r *RefusalTracker) Classify(result OrderResult, idle bool) OrderResult {
	server := result.Order.Server
	if result.Outcome != OutcomeRefused || !idle {
		delete(r.seen, server)
		return result
	}
	if r.seen == nil {
		r.seen = map[fleet.Incarnation]refusalCount{}
	}
	seen, ok := r.seen[server]
	if !ok {
		seen.since = result.Ended
	}
	seen.count++
	r.seen[server] = seen
	if seen.count >= minRefusals && result.Ended.Sub(seen.since) >= minRefusalPeriod {
		result.Outcome = OutcomeProcessEnded
	}
	return result
}

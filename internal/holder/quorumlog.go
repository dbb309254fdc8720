package holder

import (
	"maps"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

// quorumLog is what was logged last of the followers by which a holder goes on without its
// lease. The zero value means that its lease was confirmed since.
type quorumLog struct {
	loggedAt time.Time
	retained bool
	counted  map[string]bool
}

// logQuorum logs that the holder needs its followers in place of its lease, and each change
// of those that count, at most once in followerLogInterval.
func (c *Coordinator) logQuorum(now, leaseConfirmedAt time.Time, share float64, retained bool) {
	last := c.quorumLog
	if now.Sub(last.loggedAt) < followerLogInterval {
		return
	}
	counted := quorum.Counting(now, leaseConfirmedAt, c.quorumFollowers())
	if !last.loggedAt.IsZero() && last.retained == retained && maps.Equal(last.counted, counted) {
		return
	}
	c.quorumLog = quorumLog{loggedAt: now, retained: retained, counted: counted}
	c.log.Emit(events.HolderWithoutLease, "epoch", c.epoch, "unconfirmed_ms", now.Sub(leaseConfirmedAt).Milliseconds(), "sends_orders", retained,
		"share", share, "fleet", len(c.quorum.Stored()), "counted", loggedNames(counted))
}

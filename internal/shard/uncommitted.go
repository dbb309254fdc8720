package shard

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// uncommittedOwner returns the server that gets a range although the last commit does not
// name it, or nil. It is used only when no committed server can take the range: a commit
// may take as long as the store is down, and requests of the range wait meanwhile.
func (c *coordinator) uncommittedOwner(r *managedRange, now time.Time) *managedServer {
	if !c.committedServersGone(r, now) {
		return nil
	}
	counts := c.countDesiredRanges()
	var best *managedServer
	for _, s := range c.servers {
		if s.config.Name == r.owner || !s.canTakeRange(now) {
			continue
		}
		if best == nil || isBetterOwner(s, best, counts) {
			best = s
		}
	}
	if best != nil {
		c.options.Log.Emit(events.UncommittedOwner, "shard", c.options.Shard.String(),
			"range", r.bounds.String(), "from", r.owner, "to", best.config.Name)
	}
	return best
}

// committedServersGone reports whether none of the committed servers of the range can
// take it now or is expected to within lostTimeout.
func (c *coordinator) committedServersGone(r *managedRange, now time.Time) bool {
	for _, name := range [3]string{r.committedOwner, r.firstStandby, r.secondStandby} {
		s := c.servers[name]
		if !s.isUsable() || s.isSilent(now) {
			continue
		}
		if s.responsiveness == unresponsive {
			c.wakeTime.add(s.unansweredSince.Add(lostTimeout))
		}
		return false
	}
	return true
}

// countDesiredRanges returns how many ranges each server owns or is to own.
func (c *coordinator) countDesiredRanges() map[string]int {
	counts := make(map[string]int, len(c.servers))
	for _, r := range c.ranges {
		counts[r.desiredOwner]++
	}
	return counts
}

// isBetterOwner reports whether a is a better owner of a further range than b: warm
// servers are preferred, then those with fewer ranges. Names break ties.
func isBetterOwner(a, b *managedServer, counts map[string]int) bool {
	if a.limiter.Cold() != b.limiter.Cold() {
		return b.limiter.Cold()
	}
	if countA, countB := counts[a.config.Name], counts[b.config.Name]; countA != countB {
		return countA < countB
	}
	return a.config.Name < b.config.Name
}

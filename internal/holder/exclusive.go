package holder

import "time"

// exclusive reports whether this is the only holder that uses what cannot be shared: no
// holder before it does so any more, and either no successor can have been elected yet, or
// the whole fleet provably follows this one.
func (c *Coordinator) exclusive(now time.Time) bool {
	leaseConfirmedAt := c.leaseConfirmedAt.Load()
	if leaseConfirmedAt == nil || c.superseded.Load() || !c.excludesPredecessors(now) {
		return false
	}
	return now.Sub(*leaseConfirmedAt) < leaseTTL || c.retainedShare(now, *leaseConfirmedAt) >= 1
}

// excludesPredecessors reports whether no holder before this one can be exclusive. One that
// cannot reach the store takes itself for the only holder while the whole fleet that the record
// names follows it, which it cannot once a single one of these instances has joined this holder.
// It notices that by the time at which the proofs of that instance, and its lease, have ended.
func (c *Coordinator) excludesPredecessors(now time.Time) bool {
	return c.predecessorsEnded(now) || c.foundFleet.Count(c.settledNames(now)) > 0
}

// predecessorsEnded reports whether no holder before this one acts any more.
func (c *Coordinator) predecessorsEnded(now time.Time) bool {
	return c.lastHolderEnded || !now.Before(c.predecessorsEndBy)
}

// settledNames returns the names of the instances that have followed this holder for so long
// that no holder before it counts them.
func (c *Coordinator) settledNames(now time.Time) map[string]bool {
	names := map[string]bool{}
	for f := range c.followers {
		if now.Sub(f.JoinedAt) > leaseTTL {
			names[f.Name()] = true
		}
	}
	return names
}

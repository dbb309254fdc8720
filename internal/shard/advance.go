package shard

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// drainTimeout is how long new requests of a range wait for those in flight before a
// move that is not urgent is postponed.
const drainTimeout = 200 * time.Millisecond

// advanceRanges takes each range through its phases as far as possible at now. It
// reports whether any range changed.
func (c *coordinator) advanceRanges(now time.Time) bool {
	changed := false
	for _, r := range c.ranges {
		changed = c.advanceRange(r, now) || changed
	}
	if changed {
		c.grantRangesDirty = true
		c.viewDirty = true
	}
	return changed
}

func (c *coordinator) advanceRange(r *managedRange, now time.Time) bool {
	switch r.phase {
	case serving:
		return c.advanceServing(r, now)
	case draining:
		return c.advanceDraining(r, now)
	default:
		return c.advanceGranting(r, now)
	}
}

// advanceServing replaces an owner whose grant has expired, or starts a move.
func (c *coordinator) advanceServing(r *managedRange, now time.Time) bool {
	if c.ownerGrantExpired(r, now) {
		return c.replaceOwner(r, now)
	}
	c.redirectMove(r, now)
	if r.desiredOwner == r.owner || !c.servers[r.owner].isResponsive() || !c.servers[r.desiredOwner].canTakeRange(now) {
		return false
	}
	if now.Before(r.moveRetryAt) {
		c.wakeTime.add(r.moveRetryAt)
		return false
	}
	c.startMove(r, now)
	return true
}

// redirectMove chooses another server, a committed one if possible, for a range whose
// owner is being taken out of use and whose desired owner cannot take it: requests of the
// range are blocked until it has moved.
func (c *coordinator) redirectMove(r *managedRange, now time.Time) {
	if c.servers[r.owner].isUsable() || c.servers[r.desiredOwner].canTakeRange(now) {
		return
	}
	for _, name := range [3]string{r.firstStandby, r.secondStandby, r.committedOwner} {
		if name != r.owner && c.servers[name].canTakeRange(now) {
			r.desiredOwner = name
			return
		}
	}
	if s := c.uncommittedOwner(r, now); s != nil {
		r.desiredOwner = s.config.Name
	}
}

// advanceDraining assigns the range to its new owner once no request is in flight.
func (c *coordinator) advanceDraining(r *managedRange, now time.Time) bool {
	if c.ownerGrantExpired(r, now) {
		return c.replaceOwner(r, now)
	}
	c.redirectMove(r, now)
	urgent := !c.servers[r.owner].isUsable()
	if r.desiredOwner == r.owner || (!urgent && !c.servers[r.desiredOwner].canTakeRange(now)) {
		c.cancelMove(r)
		return true
	}
	if c.servers[r.desiredOwner].canTakeRange(now) && c.generation() >= r.blockedInGeneration && r.inFlight() == 0 {
		r.earlierStates = nil
		r.assignTo(r.desiredOwner)
		return true
	}
	if urgent {
		return false
	}
	if limit := r.blockedAt.Add(drainTimeout); now.Before(limit) {
		c.wakeTime.add(limit)
		return false
	}
	c.postponeMove(r, now)
	return true
}

// advanceGranting adds the range to the grant of its owner once no other server can own
// any part of it, and serves it once the owner has acknowledged the grant.
func (c *coordinator) advanceGranting(r *managedRange, now time.Time) bool {
	owner := c.servers[r.owner]
	if r.granted && owner.isResponsive() && owner.grants.HasGrant(r.bounds, now) {
		c.startServing(r)
		return true
	}
	if c.needsNewOwner(r, owner, now) && c.chooseOwner(r, now) {
		return true
	}
	if r.granted || owner == nil || !owner.isUsable() {
		return false
	}
	free := c.freeOfOthersBy(r, owner)
	if free.After(now) {
		c.wakeTime.add(free)
		return false
	}
	r.granted = true
	return true
}

// needsNewOwner reports whether a range that waits for its owner should get another
// one.
func (c *coordinator) needsNewOwner(r *managedRange, owner *managedServer, now time.Time) bool {
	if owner == nil || !owner.isUsable() {
		return true
	}
	if owner.responsiveness != unresponsive {
		return false
	}
	free := owner.grants.FreeBy(r.bounds)
	if free.After(now) {
		c.wakeTime.add(free)
		return false
	}
	return true
}

// ownerGrantExpired reports whether the owner provably no longer owns any part of the
// range.
func (c *coordinator) ownerGrantExpired(r *managedRange, now time.Time) bool {
	owner := c.servers[r.owner]
	if owner == nil {
		return true
	}
	free := owner.grants.FreeBy(r.bounds)
	if free.After(now) {
		c.wakeTime.add(free)
		return false
	}
	return true
}

// freeOfOthersBy returns the time from which no server but owner can own any part of
// the range.
func (c *coordinator) freeOfOthersBy(r *managedRange, owner *managedServer) time.Time {
	free := time.Time{}
	for _, s := range c.servers {
		if s == owner {
			continue
		}
		if by := s.grants.FreeBy(r.bounds); by.After(free) {
			free = by
		}
	}
	for _, tracker := range c.retiredGrants {
		if by := tracker.FreeBy(r.bounds); by.After(free) {
			free = by
		}
	}
	return free
}

// replaceOwner assigns a range whose grant has expired to a standby. Its owner gets the
// range back when it can take it, or when no standby can.
func (c *coordinator) replaceOwner(r *managedRange, now time.Time) bool {
	owner := c.servers[r.owner]
	if owner.canTakeRange(now) {
		r.assignTo(r.owner)
		return true
	}
	if !c.chooseOwner(r, now) {
		r.assignTo(r.owner)
		c.options.Log.Emit(events.OwnerMissing, "shard", c.options.Shard.String(), "range", r.bounds.String(), "server", r.owner)
		return true
	}
	r.abandonRequests()
	return true
}

// chooseOwner assigns the range to the first server that can take it, in the committed
// order, warm servers first. The committed owner is a candidate too, as it may have
// returned after a standby took over. When no committed server is left, another one gets
// the range. The store is not needed. It reports whether a server was found.
func (c *coordinator) chooseOwner(r *managedRange, now time.Time) bool {
	for _, cold := range [2]bool{false, true} {
		for _, name := range [5]string{r.desiredOwner, r.firstStandby, r.secondStandby, r.committedOwner, r.previousOwner} {
			s := c.servers[name]
			if name == r.owner || !s.canTakeRange(now) || s.limiter.Cold() != cold {
				continue
			}
			c.replaceWith(r, name, now)
			return true
		}
	}
	if s := c.uncommittedOwner(r, now); s != nil {
		c.replaceWith(r, s.config.Name, now)
		return true
	}
	return false
}

// replaceWith assigns the range to another server, and plans soon, so that the change is
// committed.
func (c *coordinator) replaceWith(r *managedRange, name string, now time.Time) {
	c.options.Log.Emit(events.OwnerReplaced, "shard", c.options.Shard.String(),
		"range", r.bounds.String(), "from", r.owner, "to", name)
	r.assignTo(name)
	c.counters.ownersReplaced++
	c.planSoon(now)
}

// startServing lets requests of the range through to its owner.
func (c *coordinator) startServing(r *managedRange) {
	if r.previousOwner != "" && r.previousOwner != r.owner {
		c.counters.movesCompleted++
		c.options.Log.Emit(events.MoveEnded, "shard", c.options.Shard.String(),
			"range", r.bounds.String(), "from", r.previousOwner, "to", r.owner)
	}
	r.phase = serving
	r.granted = true
	r.previousOwner = ""
	r.postponements = 0
}

package shard

import (
	"slices"
	"strings"

	"peridotmoor.org/peridotmoor/internal/route"
)

// generation returns the generation of the published view.
func (c *coordinator) generation() uint64 {
	return c.runtime.generation
}

// publishView replaces the view when anything that requests see has changed, and wakes
// the requests that wait for a newer one.
func (c *coordinator) publishView() {
	if !c.viewDirty {
		return
	}
	c.viewDirty = false
	c.runtime.generation++
	replaced := make(chan struct{})
	view := &route.View{
		Shard:      c.options.Shard,
		Keyed:      c.config.Keyed,
		Tenure:     c.tenure,
		Ranges:     c.viewRanges(replaced),
		Targets:    c.viewTargets(),
		Generation: c.runtime.generation,
	}
	c.runtime.views.Store(view)
	if c.viewReplaced != nil {
		close(c.viewReplaced)
	}
	c.viewReplaced = replaced
}

func (c *coordinator) viewRanges(replaced <-chan struct{}) []route.Range {
	if !c.config.Keyed {
		return []route.Range{c.unkeyedRange(replaced)}
	}
	ranges := make([]route.Range, len(c.ranges))
	for i, r := range c.ranges {
		ranges[i] = route.Range{Bounds: r.bounds, State: r.state}
		if s := c.servers[r.owner]; s != nil && r.phase != granting {
			ranges[i].Owner = s.target
		}
		if !c.isOpen(r) {
			ranges[i].Blocked = replaced
		}
	}
	return ranges
}

// unkeyedRange returns the only range of a service that is not partitioned by key. It
// has no owner. It is blocked while a usable server may not be sent orders yet.
func (c *coordinator) unkeyedRange(replaced <-chan struct{}) route.Range {
	whole := route.Range{Bounds: c.options.Interval, State: c.unkeyedState}
	blocked := c.blocksAllRanges()
	for _, s := range c.servers {
		blocked = blocked || s.isUsable() && !s.ordersAllowed
	}
	if blocked {
		whole.Blocked = replaced
	}
	return whole
}

// isOpen reports whether requests of the range may go to its owner. While the owner is
// unresponsive they wait until it answers or a standby takes over; while it is being
// taken out of use they wait for the move.
func (c *coordinator) isOpen(r *managedRange) bool {
	owner := c.servers[r.owner]
	return r.phase == serving && owner.isResponsive() && owner.isUsable() && !c.blocksAllRanges()
}

// viewTargets lists the servers that may get new work. When none is responsive, all
// that may be used are listed: the control endpoint of a server may fail on its own.
func (c *coordinator) viewTargets() []*route.Target {
	if c.blocksAllRanges() {
		return nil
	}
	var targets, allowed []*route.Target
	for _, s := range c.servers {
		if !s.isUsable() || !s.ordersAllowed {
			continue
		}
		allowed = append(allowed, s.target)
		if s.isResponsive() {
			targets = append(targets, s.target)
		}
	}
	if len(targets) == 0 {
		targets = allowed
	}
	slices.SortFunc(targets, func(a, b *route.Target) int { return strings.Compare(a.Name, b.Name) })
	return targets
}

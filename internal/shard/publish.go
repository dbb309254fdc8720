package shard

import (
	"slices"
	"strings"

	"peridotmoor.org/peridotmoor/internal/route"
)

// generation returns the generation of the view that requests see.
func (c *coordinator) generation() uint64 {
	return c.runtime.generation
}

// publish swaps in a new view when anything that requests see has changed, and
// wakes the requests that wait for one.
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
			ranges[i].Held = replaced
		}
	}
	return ranges
}

// wholeShard returns the one range of a service that is not partitioned by key. It
// has no owner, and is held while servers that may get work are not ready.
func (c *coordinator) unkeyedRange(replaced <-chan struct{}) route.Range {
	whole := route.Range{Bounds: c.options.Interval, State: c.unkeyedState}
	blocked := c.quiesce != nil
	for _, s := range c.servers {
		blocked = blocked || s.isUsable() && !s.ordersAllowed
	}
	if blocked {
		whole.Held = replaced
	}
	return whole
}

// open reports whether requests of the range may go to its owner. Those of a
// silent owner wait for its answer or for the standby, those of one that is taken
// out for the move.
func (c *coordinator) isOpen(r *managedRange) bool {
	owner := c.servers[r.owner]
	return r.phase == serving && owner.isResponsive() && owner.isUsable() && c.quiesce == nil
}

// viewTargets lists the servers that may get new work. When none answers, those
// that settings allow are listed: a control endpoint may fail on its own.
func (c *coordinator) viewTargets() []*route.Target {
	if c.quiesce != nil {
		return nil
	}
	var live, allowed []*route.Target
	for _, s := range c.servers {
		if !s.isUsable() || !s.ordersAllowed {
			continue
		}
		allowed = append(allowed, s.target)
		if s.isResponsive() {
			live = append(live, s.target)
		}
	}
	if len(live) == 0 {
		live = allowed
	}
	slices.SortFunc(live, func(a, b *route.Target) int { return strings.Compare(a.Name, b.Name) })
	return live
}

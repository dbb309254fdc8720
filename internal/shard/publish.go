package shard

import (
	"slices"
	"strings"

	"peridotmoor.org/peridotmoor/internal/route"
)

// generation returns the generation of the view that requests see.
func (t *term) generation() uint64 {
	return t.runtime.generation
}

// publish swaps in a new view when anything that requests see has changed, and
// wakes the requests that wait for one.
func (t *term) publish() {
	if !t.viewDirty {
		return
	}
	t.viewDirty = false
	t.runtime.generation++
	held := make(chan struct{})
	view := &route.View{
		Shard:      t.options.Shard,
		Keyed:      t.config.Keyed,
		Tenure:     t.tenure,
		Ranges:     t.viewRanges(held),
		Targets:    t.viewTargets(),
		Generation: t.runtime.generation,
	}
	t.runtime.views.Store(view)
	if t.closeHeld != nil {
		close(t.closeHeld)
	}
	t.closeHeld = held
}

func (t *term) viewRanges(held <-chan struct{}) []route.Range {
	if !t.config.Keyed {
		return []route.Range{t.wholeShard(held)}
	}
	ranges := make([]route.Range, len(t.rows))
	for i, r := range t.rows {
		ranges[i] = route.Range{Bounds: r.bounds, State: r.state}
		if l := t.links[r.owner]; l != nil && r.phase != granting {
			ranges[i].Owner = l.target
		}
		if !t.open(r) {
			ranges[i].Held = held
		}
	}
	return ranges
}

// wholeShard returns the one range of a service that is not partitioned by key. It
// has no owner, and is held while servers that may get work are not ready.
func (t *term) wholeShard(held <-chan struct{}) route.Range {
	whole := route.Range{Bounds: t.options.Interval, State: t.whole}
	waiting := t.quiesce != nil
	for _, l := range t.links {
		waiting = waiting || l.usable() && !l.ready
	}
	if waiting {
		whole.Held = held
	}
	return whole
}

// open reports whether requests of the range may go to its owner. Those of a
// silent owner wait for its answer or for the standby, those of one that is taken
// out for the move.
func (t *term) open(r *row) bool {
	owner := t.links[r.owner]
	return r.phase == serving && owner.answers() && owner.usable() && t.quiesce == nil
}

// viewTargets lists the servers that may get new work. When none answers, those
// that settings allow are listed: a control endpoint may fail on its own.
func (t *term) viewTargets() []*route.Target {
	if t.quiesce != nil {
		return nil
	}
	var live, allowed []*route.Target
	for _, l := range t.links {
		if !l.usable() || !l.ready {
			continue
		}
		allowed = append(allowed, l.target)
		if l.answers() {
			live = append(live, l.target)
		}
	}
	if len(live) == 0 {
		live = allowed
	}
	slices.SortFunc(live, func(a, b *route.Target) int { return strings.Compare(a.Name, b.Name) })
	return live
}

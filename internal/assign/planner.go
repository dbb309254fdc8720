package assign

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Planner plans the assignments of one shard. It keeps since when servers have
// been overloaded or underloaded and keys have not been hot, and which moves it
// planned in the last second; a new holder starts without this state. It is not
// safe for concurrent use.
type Planner struct {
	overloadedSince  map[string]time.Time
	underloadedSince map[string]time.Time
	cooledSince      map[key.Hash]time.Time
	recentMoves      []time.Time
}

// NewPlanner returns a planner without state of earlier plans.
func NewPlanner() *Planner {
	return &Planner{
		overloadedSince:  map[string]time.Time{},
		underloadedSince: map[string]time.Time{},
		cooledSince:      map[key.Hash]time.Time{},
	}
}

// Plan returns the next assignment. It returns a plan without changes while the
// shard has no usable server.
func (p *Planner) Plan(in Input) Plan {
	d := newDraft(in)
	if len(d.usable) == 0 {
		return Plan{Next: in.Current}
	}
	if len(in.Current.Ranges) == 0 {
		return d.firstPlan()
	}
	d.movesLeft = p.remainingMoves(in)
	d.evacuate()
	d.splitHotKeys()
	d.splitHeavyRanges()
	p.mergeCooledKeys(d)
	d.compact()
	p.relieveSlow(d)
	p.balance(d)
	d.assignStandbys()
	p.recordMoves(d)
	return d.plan()
}

// remainingMoves returns how many non-urgent moves may start now.
func (p *Planner) remainingMoves(in Input) int {
	keep := p.recentMoves[:0]
	for _, at := range p.recentMoves {
		if in.Now.Sub(at) < time.Second {
			keep = append(keep, at)
		}
	}
	p.recentMoves = keep
	return max(in.Settings.MaxMovesPerSecond-len(keep), 0)
}

// recordMoves records the non-urgent moves of the plan for the move limit.
func (p *Planner) recordMoves(d *draft) {
	for _, m := range d.moves {
		if !m.Urgent {
			p.recentMoves = append(p.recentMoves, d.in.Now)
		}
	}
}

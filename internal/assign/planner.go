package assign

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Planner plans one shard. It remembers how long servers have been overloaded
// and which moves it planned in the last second; a new holder starts without
// that memory. It has one user at a time.
type Planner struct {
	over   map[string]time.Time
	under  map[string]time.Time
	cooled map[key.Hash]time.Time
	moved  []time.Time
}

// NewPlanner returns a planner without memory.
func NewPlanner() *Planner {
	return &Planner{
		over:   map[string]time.Time{},
		under:  map[string]time.Time{},
		cooled: map[key.Hash]time.Time{},
	}
}

// Plan returns the next assignment. It returns an empty plan while the shard has
// no usable server.
func (p *Planner) Plan(in Input) Plan {
	d := newDraft(in)
	if len(d.usable) == 0 {
		return Plan{Next: in.Current}
	}
	if len(in.Current.Ranges) == 0 {
		return d.firstPlan()
	}
	d.moveLimit = p.movesLeft(in)
	d.evacuate()
	d.splitHotKeys()
	d.splitHeavyRanges()
	p.mergeCooledKeys(d)
	d.compact()
	p.relieveSlow(d)
	p.balance(d)
	d.placeStandbys()
	p.remember(d)
	return d.plan()
}

// movesLeft returns how many bounded moves may start now.
func (p *Planner) movesLeft(in Input) int {
	keep := p.moved[:0]
	for _, at := range p.moved {
		if in.Now.Sub(at) < time.Second {
			keep = append(keep, at)
		}
	}
	p.moved = keep
	return max(in.Settings.MaxMovesPerSecond-len(keep), 0)
}

// remember records the bounded moves of the plan.
func (p *Planner) remember(d *draft) {
	for _, m := range d.moves {
		if !m.Urgent {
			p.moved = append(p.moved, d.in.Now)
		}
	}
}

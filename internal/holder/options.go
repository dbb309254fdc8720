package holder

import (
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Options are the parts that a Campaign works with.
type Options struct {
	Self    Identity
	Store   store.Store
	Board   *facts.Board
	Reader  *facts.Reader
	Granter Granter
	Prober  fleet.Prober
	Desk    Desk
	Budget  placing.RetryBudget
	Log     *events.Logger
	// First is set when the whole fleet starts.
	First bool
	// Processor is the share of a processor that the machine gives.
	Processor float64
}

package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Options holds the dependencies and settings of an Elector.
type Options struct {
	Self        Identity
	Store       store.EraStore
	Registry    *facts.Registry
	Reader      *facts.Reader
	OrderSender OrderSender
	Prober      fleet.Prober
	Client      Client
	RetryBudget placing.RetryBudget
	Log         *events.Logger
	// FirstStart is set when the whole fleet starts.
	FirstStart bool
	// OnOrderWritten, if set, is called with the time from the check that the holder may send
	// orders to the end of the write of an order. It must not block.
	OnOrderWritten func(time.Duration)
	// OnEventDelay, if set, is called each tick with the time that an event has waited for the
	// event loop of the holder. It must not block.
	OnEventDelay func(time.Duration)
	// ProcessorShare is the share of a processor available on this machine.
	ProcessorShare float64
}

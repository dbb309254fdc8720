package admission

import (
	"peridotmoor.org/peridotmoor/internal/ramp"
)

// DefaultQueueLimit is the number of requests that may wait for one server.
const DefaultQueueLimit = 64

// Options configures a Limiter.
type Options struct {
	// Server is the name of the server, for error messages.
	Server string
	// Slots is the number of requests the server runs at a time, 1 to 4095.
	Slots int
	// QueueLimit bounds the requests that wait; 0 means DefaultQueueLimit.
	QueueLimit int
	// ColdRate and TakeoverRate are in requests/s; 0 means the defaults of package ramp.
	ColdRate     float64
	TakeoverRate float64
	// StartReason determines the initial state of the server: ReasonNone means warm,
	// ReasonTakeover the state after a takeover, any other reason cold.
	StartReason ramp.Reason
	// OnCold is called each time the server becomes cold, after the change of state. It
	// may be nil.
	OnCold func(ramp.Reason)
}

func (o Options) limits() limits {
	queue := o.QueueLimit
	if queue <= 0 {
		queue = DefaultQueueLimit
	}
	config := ramp.Config{Slots: o.Slots, ColdRate: o.ColdRate, TakeoverRate: o.TakeoverRate}
	config = config.WithDefaults()
	config.Slots = min(config.Slots, maxSlots)
	return limits{ramp: config, queueLimit: min(queue, maxWaiting)}
}

func (o Options) initialRampState(c ramp.Config) ramp.State {
	switch o.StartReason {
	case ramp.ReasonNone:
		return ramp.Warm(c)
	case ramp.ReasonTakeover:
		return ramp.Takeover(c)
	default:
		return ramp.Cold(c)
	}
}

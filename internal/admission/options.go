package admission

import (
	"peridotmoor.org/peridotmoor/internal/ramp"
)

// DefaultQueueLimit is the number of requests that may wait for one server.
const DefaultQueueLimit = 64

// Options configures a Gate.
type Options struct {
	// Server is the name of the server, for messages.
	Server string
	// Slots is the number of requests the server runs at a time, 1 to 4095.
	Slots int
	// QueueLimit bounds the requests that wait; 0 stands for DefaultQueueLimit.
	QueueLimit int
	// ColdRate and TakeoverRate are in requests/s; 0 stands for the defaults of ramp.
	ColdRate     float64
	TakeoverRate float64
	// StartReason says in which state the server is taken on: ReasonNone for warm,
	// ReasonTakeover for the state after a takeover, any other reason for cold.
	StartReason ramp.Reason
	// OnCold is called, outside the request path's critical sections, each time the
	// server starts to count as cold. It may be nil.
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

package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/placing"
)

// Status tells whether an instance acts as the holder. The fields but Acting are those of its
// tenure and are zero if it does not.
type Status struct {
	Acting bool
	Epoch  int64
	// LeaseUnconfirmed is the time since the lease was last confirmed.
	LeaseUnconfirmed time.Duration
	// SendsOrders is set if the holder sends orders to servers.
	SendsOrders bool
	// Shortages holds the refusals of each service for want of capacity, a few seconds old.
	Shortages map[string]placing.Shortage
}

// Status returns whether this instance acts as the holder. It is safe for concurrent use.
func (e *Elector) Status(now time.Time) Status {
	c := e.coordinator.Load()
	if c == nil {
		return Status{}
	}
	status := Status{Acting: true, Epoch: c.epoch, LeaseUnconfirmed: c.unconfirmedFor(now), SendsOrders: c.isSendingOrders()}
	if shortages := c.shortages.Load(); shortages != nil {
		status.Shortages = *shortages
	}
	return status
}

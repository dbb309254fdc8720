package holder

import "time"

// Status tells whether an instance acts as the holder. The fields but Acting are those of its
// tenure and are zero if it does not.
type Status struct {
	Acting bool
	Epoch  int64
	// LeaseUnconfirmed is the time since the lease was last confirmed.
	LeaseUnconfirmed time.Duration
	// SendsOrders is set if the holder sends orders to servers.
	SendsOrders bool
}

// Status returns whether this instance acts as the holder. It is safe for concurrent use.
func (e *Elector) Status(now time.Time) Status {
	c := e.coordinator.Load()
	if c == nil {
		return Status{}
	}
	return Status{Acting: true, Epoch: c.epoch, LeaseUnconfirmed: c.unconfirmedFor(now), SendsOrders: c.isSendingOrders()}
}

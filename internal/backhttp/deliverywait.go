package backhttp

import "time"

// deliveryWait decides how long the rest of an accepted request is delivered after its response.
// It does no I/O.
type deliveryWait struct {
	// deadline is that of the request, until which the server may pause.
	deadline time.Time
	// limit is when the delivery ends however the server takes the rest.
	limit time.Time
	acked uint64
	// changedAt is when the server last acknowledged more.
	changedAt time.Time
}

func newDeliveryWait(now, deadline time.Time) deliveryWait {
	return deliveryWait{deadline: deadline, limit: later(now, deadline).Add(deliveryLimit), changedAt: now}
}

// observe records that the server has acknowledged acked bytes at now.
func (w *deliveryWait) observe(now time.Time, acked uint64) {
	if acked != w.acked {
		w.acked, w.changedAt = acked, now
	}
}

// ended reports whether the rest is given up at now.
func (w *deliveryWait) ended(now time.Time) bool {
	return now.After(w.limit) || now.After(later(w.deadline, w.changedAt.Add(deliveryStall)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

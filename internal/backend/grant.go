package backend

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Grant is the complete list of the key ranges of one shard that a backend server owns.
type Grant struct {
	Order  Order
	Ranges []key.Range
	// Incarnation identifies the server process whose clock Expiry refers to. A
	// server with another incarnation ignores Ranges and Expiry, but still
	// responds: its clock may have restarted at 0, so the grant could last for hours.
	Incarnation string
	// Expiry is the end of the grant on the server's monotonic clock. With 0 the
	// call only reads the clock and changes no grant.
	Expiry time.Duration
	// Sequence orders the grants of one token, so that a delayed grant does not
	// replace a later one. With 0 the server doesn't check the order.
	Sequence uint64
}

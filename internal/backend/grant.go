package backend

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Grant is the whole list of ranges that a backend server owns under one shard.
type Grant struct {
	Order  Order
	Ranges []key.Range
	// Expiry is when the grant ends, on the server's own monotonic clock. 0 asks
	// for the clock only and changes nothing.
	Expiry time.Duration
}

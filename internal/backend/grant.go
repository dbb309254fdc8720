package backend

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Grant is the whole list of ranges that a backend server owns under one shard.
type Grant struct {
	Order  Order
	Ranges []key.Range
	// Incarnation is the run of the server whose clock Expiry refers to. A server
	// with another incarnation ignores ranges and expiry: its clock may have
	// restarted at 0, so that the grant would last for hours. It still answers.
	Incarnation string
	// Expiry is when the grant ends, on the server's own monotonic clock. 0 asks
	// for the clock only and changes nothing.
	Expiry time.Duration
	// Sequence orders the grants of one token, so that a delayed grant does not
	// replace a later one; 0 leaves the order unchecked.
	Sequence uint64
}

package shard

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
)

// call is one message for a server's sender.
type call struct {
	// number is the message's number in the server's book, or 0 for a question for the clock.
	messageNumber uint64
	grant         backend.Grant
	// margin is how long before the end of the tenure the call may no longer leave.
	margin  time.Duration
	timeout time.Duration
}

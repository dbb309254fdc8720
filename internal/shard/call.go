package shard

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
)

// call is one message for the sender of a server.
type call struct {
	// messageNumber is the number of the grant message, or 0 for a call that only reads
	// the clock.
	messageNumber uint64
	grant         backend.Grant
	// margin is how long before the end of the tenure the call may no longer be sent.
	margin  time.Duration
	timeout time.Duration
}

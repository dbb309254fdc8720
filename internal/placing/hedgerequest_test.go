package placing

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/hedge"
)

// hedgeRequest is a request of a hedgeReplay.
type hedgeRequest struct {
	startedAt time.Time
	delay     *hedge.Delay
	instance  string
	// attempts are those that run, the first one and the hedge.
	attempts []*hedgeAttempt
	done     bool
}

// hedgeAttempt is an attempt of a hedgeReplay that runs at a server.
type hedgeAttempt struct {
	Decision
	startedAt time.Time
	isHedge   bool
	ended     bool
}

package gateway

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/placing"
)

// pendingAttempt is an attempt that waits for the decision of the holder.
type pendingAttempt struct {
	decision chan placing.Decision
	// team is that of the attempt.
	team string
	// queued is set when the holder has acknowledged that the attempt is queued.
	queued atomic.Bool
}

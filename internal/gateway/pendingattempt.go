package gateway

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/placing"
)

// pendingAttempt is an ask without a verdict.
type pendingAttempt struct {
	decision chan placing.Decision
	// queued is set once the holder has said that the ask queued.
	queued atomic.Bool
}

package gateway

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/placing"
)

// pending is an ask without a verdict.
type pending struct {
	verdict chan placing.Decision
	// waits is set once the holder has said that the ask waits.
	waits atomic.Bool
}

package owners_test

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/placing"
)

// loadRequest is one request of the load.
type loadRequest struct {
	id       placing.AttemptID
	key      int
	arrived  time.Time
	assigned time.Time
	// work is the time that the request takes on a server of speed 1.
	work   time.Duration
	result *loadResult
}

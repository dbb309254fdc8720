package placing

import (
	"time"
)

// loadRequest is one request of a caller.
type loadRequest struct {
	loadClass
	number    uint64
	key       int
	team      string
	startedAt time.Time
	sentAt    time.Time
	returned  bool
	// told is set if the caller returned when it was told.
	told     bool
	refusals int
}

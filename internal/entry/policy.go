package entry

import "time"

// Policy contains the settings for requests of one service and key.
type Policy struct {
	// Timeout applies if the caller sends none.
	Timeout time.Duration
	// IdleTimeout is the longest time for which an upload may make no progress.
	IdleTimeout time.Duration
}

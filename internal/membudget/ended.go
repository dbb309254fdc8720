package membudget

import "time"

// Ended describes a connection that was ended for its memory.
type Ended struct {
	// Bytes is what the connection held, and Total what all held together.
	Bytes, Total int64
	// Idle is the time since its last progress.
	Idle time.Duration
}

package gateway

import "sync/atomic"

// failureCount is the number of attempts in a row that a server did not take.
type failureCount struct {
	count atomic.Int64
	// lastAt is when the last one ended, in Unix nanoseconds.
	lastAt atomic.Int64
}

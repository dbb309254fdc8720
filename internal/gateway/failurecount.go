package gateway

import (
	"sync/atomic"
	"time"
)

// failureCount is the number of attempts in a row that a server did not take.
type failureCount struct {
	count atomic.Int64
	// lastAt is when the last one ended, in Unix nanoseconds.
	lastAt atomic.Int64
}

// inBackoff reports whether the server gets no request at now, after a failure at the given
// time in Unix nanoseconds.
func (f *failureCount) inBackoff(now time.Time, last int64) bool {
	doublings := min(max(f.count.Load()-1, 0), maxBackoffDoublings) // the count may be about to rise from 0
	return now.UnixNano()-last < int64(minLocalBackoff<<doublings)
}

package callerhttp

import "time"

// evictable is a connection that may be closed in favour of a new one.
type evictable struct {
	conn *conn
	// idle is the time since its last progress.
	idle time.Duration
}

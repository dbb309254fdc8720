package callerhttp

import "time"

// Untaken describes a connection that this side ended although its caller had not acknowledged
// all that was written to it.
type Untaken struct {
	// Bytes is what the caller had not acknowledged.
	Bytes int
	// Waited is the time since the last response was written.
	Waited time.Duration
}

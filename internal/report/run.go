package report

import "time"

// Run is one run of a request on a backend server.
type Run struct {
	RequestID  string
	Server     string
	Idempotent bool
	Start      time.Time
}

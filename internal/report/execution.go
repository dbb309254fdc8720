package report

import "time"

// Execution is one execution of a request on a backend server.
type Execution struct {
	RequestID  string
	Server     string
	Idempotent bool
	Start      time.Time
}

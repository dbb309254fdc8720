package caller

import "time"

// Route is a route of the configuration as callers know it.
type Route struct {
	Name   string
	Prefix string
	// Idempotent requests may run more than once; they are sent as GET.
	Idempotent bool
	Keyed      bool
	Upload     bool
	Timeout    time.Duration
}

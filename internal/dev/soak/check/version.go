package check

import "time"

// Version is an accepted version of the configuration.
type Version struct {
	Number     int
	AcceptedAt time.Time
	// MovedService is the service of the route whose service changes with each version.
	MovedService string
}

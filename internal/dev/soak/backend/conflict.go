package backend

import "time"

// Conflict is a key for which two servers held a grant at the same time and both
// started requests in that time.
type Conflict struct {
	Key           int
	First, Second string
	RequestID     string
	At            time.Time
	// GrantsArrivedAt holds the arrivals of the grants of both servers.
	GrantsArrivedAt [2]time.Time
}

package backpressure

import "time"

// Signal is what a backend server asks of the fleet in one response.
type Signal struct {
	// Leaving is set when the server is about to end and wants no new work.
	Leaving bool
	// Pause is how long the server wants no requests from this instance, or 0.
	Pause time.Duration
	// Limit is the rate limit that the response names.
	Limit Limit
	// SentAt is when the request was sent. A response that names no limit ends one only
	// if that was later than when the limit was learned.
	SentAt time.Time
	// Unreadable is a value that could not be read, with the name of its field, or "". Such a value asks nothing and takes nothing back.
	Unreadable string
}

package backpressure

import "time"

// Signal is what a backend server asks of the fleet in one response.
type Signal struct {
	// Leaving is set when the server is about to end and wants no new work.
	Leaving bool
	// Pause is how long the server wants no requests from this instance, or 0.
	Pause time.Duration
	// Unreadable is the first value that could not be read, with the name of its field,
	// or "". Such a value asks nothing and takes nothing back.
	Unreadable string
}

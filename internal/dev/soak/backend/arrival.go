package backend

import "time"

// Arrival is one request that reached a server, whether the server ran it or not.
// Requests that it misdirected are not counted.
type Arrival struct {
	RequestID string
	Server    string
	// Domain is the failure domain of the server.
	Domain string
	At     time.Time
	// Pause is the time for which the server asked not to be sent requests, with a refusal
	// at once, or 0.
	Pause time.Duration
}

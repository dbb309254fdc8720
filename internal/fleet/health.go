package fleet

import "time"

// Health is a server's response to a health check.
type Health struct {
	// Server is the name of the server that responded.
	Server string
	// Serving is set if the server takes new work, now or once it is less busy.
	Serving bool
	// ColdRemaining is how much longer the server stays cold.
	ColdRemaining time.Duration
}

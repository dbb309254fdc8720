package fleet

import "time"

// Health is a server's response to a health check.
type Health struct {
	// Server is the name of the server that responded.
	Server string
	// ColdRemaining is how much longer the server stays cold.
	ColdRemaining time.Duration
}

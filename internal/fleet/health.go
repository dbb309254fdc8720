package fleet

import "time"

// Health is what a server says of itself when it is asked.
type Health struct {
	// Server is the name of the server that answered.
	Server string
	// ColdRemaining is how much longer it is cold.
	ColdRemaining time.Duration
}

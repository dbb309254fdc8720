package placing

import "time"

// Finish reports the end of an attempt at a server.
type Finish struct {
	Ticket  AttemptID
	Server  string
	Outcome Outcome
	// Mark is the mark of the Ask.
	Mark uint64
	// Took is the time from sending to the end.
	Took time.Duration
	// Load is what the server said of itself.
	Load Load
}

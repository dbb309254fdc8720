package placing

import "time"

// Completion reports the end of an attempt at a server.
type Completion struct {
	AttemptID  AttemptID
	Server  string
	Outcome Outcome
	// ContentHash is the mark of the Ask.
	ContentHash uint64
	// Duration is the time from sending to the end.
	Duration time.Duration
	// Load is what the server said of itself.
	Load Load
}

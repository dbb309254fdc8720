package placing

import "time"

// Decision answers an Ask: a server, or a refusal.
type Decision struct {
	AttemptID AttemptID
	// Server is empty in a refusal.
	Server string
	Reason Reason
	// RetryAfter is when room is likely.
	RetryAfter time.Duration
}

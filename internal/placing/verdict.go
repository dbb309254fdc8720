package placing

import "time"

// Verdict answers an Ask: a server, or a refusal.
type Verdict struct {
	Ticket AttemptID
	// Server is empty in a refusal.
	Server string
	Reason Reason
	// RetryAfter is when room is likely.
	RetryAfter time.Duration
}

package placing

import "time"

// Decision assigns an attempt to a server or refuses it.
type Decision struct {
	AttemptID AttemptID
	// Server is empty when the attempt is refused.
	Server string
	Reason Reason
	// RetryAfter is how long to wait after a refusal until capacity is likely to be free.
	RetryAfter time.Duration
}

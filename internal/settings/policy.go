package settings

import "time"

// RequestPolicy holds the request-scoped settings of one key at one entry
// instance. It is a value that nothing changes after Parse.
type RequestPolicy struct {
	// Timeout is the deadline of a request whose caller sends none.
	Timeout time.Duration
	// IdleTimeout ends a streamed body that makes no progress.
	IdleTimeout time.Duration
	// Priority is 0 to 9; 9 is served first.
	Priority int
	// QueueLimit is how many requests may wait for a server.
	QueueLimit int
	// Hedge allows a second attempt of an idempotent request while the first runs.
	// It is false for keyed services.
	Hedge bool
	// RetryLimit is the number of attempts after the first.
	RetryLimit int
	// RecordRetention is how long the outcome of a non-idempotent request is kept.
	RecordRetention time.Duration
}

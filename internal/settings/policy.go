package settings

import "time"

// RequestPolicy holds the request-scoped settings of one key at one entry instance. It
// is not modified after Parse.
type RequestPolicy struct {
	// Timeout applies to requests whose caller sends no deadline.
	Timeout time.Duration
	// IdleTimeout ends the transfer of a streamed body that makes no progress.
	IdleTimeout time.Duration
	// Priority ranges from 0 to 9; 9 is served first.
	Priority int
	// QueueLimit is the maximum number of requests that wait for a server.
	QueueLimit int
	// Hedge allows a second dispatch of a slow idempotent request while the first is
	// running. It is always false for keyed services, whose keys have one owner.
	Hedge bool
	// RetryLimit is the maximum number of attempts after the first.
	RetryLimit int
	// RecordRetention is how long the outcome of a non-idempotent request is recorded for
	// resends.
	RecordRetention time.Duration
}

package placing

import "time"

// lostAttempt is an attempt that ended with its server's connection.
type lostAttempt struct {
	contentHash uint64
	at   time.Time
}

package placing

import "time"

// lostAttempt is an attempt whose connection to the server was lost.
type lostAttempt struct {
	contentHash uint64
	// lossID is the ID of the loss in the memory of crashes.
	lossID uint64
	at     time.Time
}

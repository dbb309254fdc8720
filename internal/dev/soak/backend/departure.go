package backend

import "time"

// Departure is a server's word, in its entry, that it leaves.
type Departure struct {
	Server string
	// AckedAt is when the store had accepted it.
	AckedAt time.Time
}

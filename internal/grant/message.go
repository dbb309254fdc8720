package grant

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Message is a grant that has been sent or is about to be sent.
type Message struct {
	// Number identifies the message within its tracker. It is never 0.
	Number uint64
	// Ranges is the complete list of granted ranges, ordered by start.
	Ranges []key.Range
	// Incarnation identifies the server process whose clock Expiry refers to.
	Incarnation string
	// Expiry is the end of the grant on the server's clock.
	Expiry time.Duration
	// ExpiredBy is the holder's time by which the grant has provably expired.
	ExpiredBy time.Time
}

package grant

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Message is one grant that was sent or is about to be sent.
type Message struct {
	// Number identifies the message within its book; it is never 0.
	Number uint64
	// Ranges is the whole list, ordered by start.
	Ranges []key.Range
	// Incarnation is the run of the server that Expiry refers to.
	Incarnation string
	// Expiry is the end of the grant on the server's clock.
	Expiry time.Duration
	// ExpiredBy is the holder's time by which the grant has provably expired.
	ExpiredBy time.Time
}

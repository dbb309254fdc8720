package assign

import (
	"peridotmoor.org/peridotmoor/internal/key"
)

// Move gives a range of the next assignment to another owner.
type Move struct {
	Bounds key.Range
	From   string
	To     string
	Reason Reason
	// Urgent marks a move off a server that is lost, out or leaving. It is not
	// bounded by MaxMovesPerSecond and holds new requests until those in flight end.
	Urgent bool
}

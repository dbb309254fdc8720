package assign

import (
	"peridotmoor.org/peridotmoor/internal/key"
)

// Move assigns a range of the next assignment to another owner.
type Move struct {
	Bounds key.Range
	From   string
	To     string
	Reason Reason
	// Urgent marks a move that is not limited by MaxMovesPerSecond: off a server
	// that is lost, out of service, leaving or removed, or in the first plan. New
	// requests wait until those in flight have ended.
	Urgent bool
}

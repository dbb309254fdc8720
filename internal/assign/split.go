package assign

import (
	"peridotmoor.org/peridotmoor/internal/key"
)

// Split divides a range into parts that keep the owner.
type Split struct {
	Bounds key.Range
	Parts  []key.Range
	Reason Reason
}

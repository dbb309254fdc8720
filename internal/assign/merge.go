package assign

import (
	"peridotmoor.org/peridotmoor/internal/key"
)

// Merge joins adjacent ranges of one owner.
type Merge struct {
	Parts  []key.Range
	Into   key.Range
	Reason Reason
}

package assign

import (
	"peridotmoor.org/peridotmoor/internal/key"
)

// Merge replaces adjacent ranges of one owner by one range.
type Merge struct {
	Parts  []key.Range
	Into   key.Range
	Reason Reason
}

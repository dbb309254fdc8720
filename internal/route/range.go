package route

import (
	"peridotmoor.org/peridotmoor/internal/key"
)

// Range is one row of a view: a hash range and who serves it.
type Range struct {
	Bounds key.Range
	// Owner is the server that holds the grant, or nil while there is none.
	Owner *Target
	// Blocked is non-nil while requests of the range wait for a move or a grant; it
	// is closed when a newer view has been published.
	Blocked <-chan struct{}
	State   *RangeState
}

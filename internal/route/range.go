package route

import (
	"peridotmoor.org/peridotmoor/internal/key"
)

// Range is one entry of a view: a hash range and the server that owns it.
type Range struct {
	Bounds key.Range
	// Owner is the server that holds the grant, or nil while no server does.
	Owner *Target
	// Blocked is non-nil while requests of the range wait for a move or a grant. It
	// is closed when a newer view has been published.
	Blocked <-chan struct{}
	State   *RangeState
}

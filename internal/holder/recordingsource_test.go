package holder

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// recordingSource is an emptySource that reports its first reads.
type recordingSource struct {
	emptySource
	reads chan struct{}
}

func (s recordingSource) Listing(ctx context.Context) (fleet.Listing, error) {
	select {
	case s.reads <- struct{}{}:
	default:
	}
	return s.emptySource.Listing(ctx)
}

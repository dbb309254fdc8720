package record

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// MirrorSetConsensus is the agreement of the witnesses on the mirror set of a shard.
type MirrorSetConsensus interface {
	// Mirrors returns the latest set that a majority of the witnesses has acknowledged.
	Mirrors() authority.MirrorSet
	// Propose returns nil once a majority of the witnesses has acknowledged the
	// set. After an error some of them may have acknowledged it.
	Propose(ctx context.Context, set authority.MirrorSet) error
}

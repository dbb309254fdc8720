package record

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/key"
)

// ReplicatedTableOptions configures the records of one tenure of a shard.
type ReplicatedTableOptions struct {
	Shard key.ShardID
	Token authority.Token
	Self  authority.Instance
	// MirrorClient must reach this instance's own Mirror too when asked for Self.
	MirrorClient MirrorClient
	MirrorSets   MirrorSetConsensus
	// FirstTenure reports that the shard never had a holder, so no record can exist.
	FirstTenure bool
	Options     Options
	// Events gets the takeover and each new mirror set.
	Events *events.Logger
}

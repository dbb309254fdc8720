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
	// MirrorClient must also reach the Mirror of this instance, under Self.
	MirrorClient MirrorClient
	MirrorSets   MirrorSetConsensus
	// FirstTenure reports that the shard never had a holder, so no record can exist.
	FirstTenure bool
	Options     Options
	// Events logs the takeover and each new mirror set.
	Events *events.Logger
}

package authority

import "peridotmoor.org/peridotmoor/internal/key"

// ShardSpec is the part of the settings that determines the witnesses of a
// shard.
type ShardSpec struct {
	ID key.ShardID
	// HomeRegion is the region of most of the shard's servers.
	HomeRegion string
	// Domains are the failure domains of the home region, from which witnesses
	// are selected. If none of them has a live instance, all instances are
	// eligible.
	Domains []string
}

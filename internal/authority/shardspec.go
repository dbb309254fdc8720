package authority

import "peridotmoor.org/peridotmoor/internal/key"

// ShardSpec is what the settings say about where a shard is decided.
type ShardSpec struct {
	ID key.ShardID
	// HomeRegion is the region of most of the shard's servers. It is used in events.
	HomeRegion string
	// Domains are the failure domains from which witnesses are chosen: those of
	// the home region. When none of them has a live instance, all are eligible.
	Domains []string
}

package authority

import "peridotmoor.org/peridotmoor/internal/key"

// ConfigChange reports the latest known witness configuration of a shard.
type ConfigChange struct {
	Shard  key.ShardID
	Config WitnessConfig
}

package authority

import "peridotmoor.org/peridotmoor/internal/key"

// Proposal asks the driver to write a configuration if the record still has the
// configuration Base. A record that does not exist has the zero configuration.
type Proposal struct {
	Shard key.ShardID
	Base  WitnessConfig
	Next  WitnessConfig
}

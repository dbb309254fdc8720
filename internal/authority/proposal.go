package authority

import "peridotmoor.org/peridotmoor/internal/key"

// Proposal is a conditional write of a witness configuration: the driver writes
// Next if the record still contains Base. A missing record counts as the zero
// configuration.
type Proposal struct {
	Shard key.ShardID
	Base  WitnessConfig
	Next  WitnessConfig
}

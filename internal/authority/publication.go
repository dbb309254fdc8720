package authority

import "peridotmoor.org/peridotmoor/internal/key"

// Publication is a change of the tenure of a shard; nil when it is not held.
type Publication struct {
	Shard  key.ShardID
	Tenure *Tenure
}

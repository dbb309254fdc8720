package authority

import "peridotmoor.org/peridotmoor/internal/key"

// TenureChange is a change of the tenure of a shard; nil when it is not held.
type TenureChange struct {
	Shard  key.ShardID
	Tenure *Tenure
}

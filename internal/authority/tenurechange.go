package authority

import "peridotmoor.org/peridotmoor/internal/key"

// TenureChange is a new tenure of a shard. Tenure is nil if the shard is no
// longer held.
type TenureChange struct {
	Shard  key.ShardID
	Tenure *Tenure
}

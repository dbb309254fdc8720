package shard

import "peridotmoor.org/peridotmoor/internal/authority"

// TenureSource tells whether this instance holds the shard.
type TenureSource interface {
	// Tenure returns the newest tenure, or nil when the instance does not hold the
	// shard. It may be called from several goroutines.
	Tenure() *authority.Tenure
	// Changed returns a channel that receives a value after Tenure has changed. It has
	// one reader, the runtime; several changes may be merged into one value.
	Changed() <-chan struct{}
}

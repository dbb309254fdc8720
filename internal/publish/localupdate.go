package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// localUpdate is news of this instance itself.
type localUpdate struct {
	shards  []exchange.ShardEntry
	marks   []exchange.QuarantineMark
	leaving bool
}

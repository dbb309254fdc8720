package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// local is news of this instance itself.
type local struct {
	shards  []exchange.ShardEntry
	marks   []exchange.QuarantineMark
	leaving bool
}

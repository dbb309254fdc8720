package publish

import (
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// localUpdate is an update that originates at this instance.
type localUpdate struct {
	shards  []exchange.ShardEntry
	marks   []exchange.QuarantineMark
	leaving bool
}

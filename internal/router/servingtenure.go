package router

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/dispatch"
	"peridotmoor.org/peridotmoor/internal/record"
)

// servingTenure holds the request records and the dispatcher of a shard during one
// tenure. It is immutable.
type servingTenure struct {
	since      time.Time
	records    *record.ReplicatedTable
	dispatcher *dispatch.Dispatcher
}

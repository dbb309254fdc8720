package router

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/dispatch"
	"peridotmoor.org/peridotmoor/internal/record"
)

// servingTenure is what a shard serves requests with during one tenure. It is immutable.
type servingTenure struct {
	since      time.Time
	records    *record.ReplicatedTable
	dispatcher *dispatch.Dispatcher
}

package demo

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
)

// loadResult holds the records of the callers and the time of the load.
type loadResult struct {
	records  []*callers.Record
	from, to time.Time
	probe    callers.RequestKind
	keys     []string
}

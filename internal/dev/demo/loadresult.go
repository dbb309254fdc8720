package demo

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
)

// loadResult is what the callers saw, and when.
type loadResult struct {
	records  []*callers.Record
	from, to time.Time
	probe    callers.RequestKind
	keys     []string
}

package record

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// fetchResult is the result of a fetch from one member of the mirror set.
type fetchResult struct {
	from          authority.Instance
	records       []Record
	completeSince time.Time
	err           error
}

package record

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// fetchResult is what one member of the mirror set returned.
type fetchResult struct {
	from          authority.Instance
	records       []Record
	completeSince time.Time
	err           error
}

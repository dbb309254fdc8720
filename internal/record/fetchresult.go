package record

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// fetched is what one member of the mirror set returned.
type fetched struct {
	from          authority.Instance
	records       []Record
	completeSince time.Time
	err           error
}

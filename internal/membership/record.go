package membership

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/instances"
)

// record is an entry with the evidence behind it.
type record struct {
	Entry
	// listed is what the platform's latest list says, or empty.
	listed     instances.State
	answeredAt time.Time
	probedAt   time.Time
}

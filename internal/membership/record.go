package membership

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/instances"
)

// record is an entry with the evidence behind it.
type record struct {
	Entry
	// listedState is what the platform's latest list says, or empty.
	listedState instances.State
	respondedAt time.Time
	probedAt    time.Time
}

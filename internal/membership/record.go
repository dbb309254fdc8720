package membership

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/instances"
)

// record is an entry with the observations that its state rests on.
type record struct {
	Entry
	// listedState is the state in the platform's latest list, or empty if the instance is not
	// listed.
	listedState instances.State
	respondedAt time.Time
	probedAt    time.Time
}

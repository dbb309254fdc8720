package membership

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/instances"
)

// Entry is what a view says about one instance.
type Entry struct {
	// Member has no incarnation while the instance is known from the list only.
	Member authority.Member
	State  State
	// Since is when the state or the incarnation last changed.
	Since time.Time
}

// record is an entry with the evidence behind it.
type record struct {
	Entry
	// listed is what the platform's latest list says, or empty.
	listed     instances.State
	answeredAt time.Time
	probedAt   time.Time
}

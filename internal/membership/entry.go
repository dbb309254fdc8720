package membership

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// Entry is what a view says about one instance.
type Entry struct {
	// Member has no incarnation while the instance is known from the list only.
	Member authority.Member
	State  State
	// ChangedAt is when the state or the incarnation last changed.
	ChangedAt time.Time
}

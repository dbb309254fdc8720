package membership

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// Entry is the state of one instance in a view.
type Entry struct {
	// Member has no incarnation while the instance is known only from the platform's list.
	Member authority.Member
	State  State
	// ChangedAt is the time of the last change of the state or the incarnation.
	ChangedAt time.Time
}

package platform

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/instances"
)

// listChange sets or removes one instance at a time.
type listChange struct {
	visibleAt time.Time
	instance  instances.Instance
	removed   bool
}

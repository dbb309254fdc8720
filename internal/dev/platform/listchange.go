package platform

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/instances"
)

// listChange adds, replaces or removes one instance.
type listChange struct {
	visibleAt time.Time
	instance  instances.Instance
	removed   bool
}

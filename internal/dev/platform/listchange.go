package platform

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/instances"
)

// change sets or removes one instance at a time.
type change struct {
	at       time.Time
	instance instances.Instance
	removed  bool
}

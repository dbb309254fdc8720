// Package ownership records which backend server owns which keys, as the
// servers see it, and finds keys that have two owners at the same time.
package ownership

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Interval is a time during which one server owned a range.
type Interval struct {
	Service string    `json:"service"`
	Server  string    `json:"server"`
	Range   key.Range `json:"range"`
	From    time.Time `json:"from"`
	// Until is when the ownership ended, or when it expires unless renewed.
	Until time.Time `json:"until"`
}

func (i *Interval) activeAt(now time.Time) bool {
	return now.Before(i.Until)
}

package assign

import (
	"math/rand/v2"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Input is everything that a plan depends on, apart from the state of the
// planner.
type Input struct {
	// Interval is the part of the hash space that the shard covers.
	Interval key.Range
	Servers  []Server
	// Current is the assignment in force. Its ranges are empty before the first
	// plan.
	Current Assignment
	// Loads holds requests per second, one for each range of Current.
	Loads []float64
	// Moving marks the ranges of Current that are being moved. They are not
	// split, merged or moved again, except off a server that cannot keep them.
	// May be empty.
	Moving   []bool
	HotKeys  []HotKey
	Settings Settings
	Now      time.Time
	// Random breaks ties.
	Random *rand.Rand
}

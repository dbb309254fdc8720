package holder

import (
	"math/rand/v2"
	"time"
)

// candidacyDelay returns how long this instance waits before it becomes a candidate.
// Stronger machines wait less, so that they are elected first. maxShare is the largest
// processor share in the fleet, or 0 if it is unknown.
func candidacyDelay(share, maxShare float64, delay, jitter time.Duration) time.Duration {
	if maxShare == 0 {
		maxShare = 1
	}
	deficit := max(0, 1-share/maxShare)
	return time.Duration(deficit*float64(delay)) + time.Duration(rand.Int64N(int64(jitter)))
}

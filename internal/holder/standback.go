package holder

import (
	"math/rand/v2"
	"time"
)

// candidacyDelay returns how long a candidate waits so that stronger machines go first.
// strongest is the largest processor share in the fleet, or 0 if it is not known.
func candidacyDelay(processor, strongest float64, delay, jitter time.Duration) time.Duration {
	if strongest == 0 {
		strongest = 1
	}
	weakness := max(0, 1-processor/strongest)
	return time.Duration(weakness*float64(delay)) + time.Duration(rand.Int64N(int64(jitter)))
}

package placing

import (
	"math/rand/v2"
	"time"
)

// meanWork is the service time at a server of speed 1.
const meanWork = 230 * time.Millisecond

// loadPattern is a load that is replayed against the scheduler in virtual time.
type loadPattern struct {
	keyed bool
	// unrecognised requests differ in their content when their callers return.
	unrecognised bool
	// target is the latency target, 1 s if not set.
	target time.Duration
	// speeds are those of the servers.
	speeds []float64
	// ownerOf returns the server that owns a key.
	ownerOf func(key int) int
	// rate returns the arrivals per second.
	rate    func(at time.Duration) float64
	maxRate float64
	length  time.Duration
	// next returns the key and the team of an arrival.
	next func(random *rand.Rand) (int, string)
}

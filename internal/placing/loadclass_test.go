package placing

import (
	"math"
	"math/rand/v2"
	"time"
)

// loadClass is a kind of callers: the latency target of their route.
type loadClass struct{ target, patience time.Duration }

// newLoadClass returns a class with the target whose callers wait between one and a half
// times the target and 12 s, at least 1.5 s. Short waits are more frequent.
func newLoadClass(random *rand.Rand, target time.Duration) loadClass {
	shortest := max(1500*time.Millisecond, target*3/2)
	longest := 12 * time.Second
	factor := math.Pow(float64(longest)/float64(shortest), random.Float64())
	return loadClass{target, time.Duration(float64(shortest) * factor)}
}

package placing

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against moves for keys that are no longer hot, and against steady rates that are too
// low because the load has just begun.
func TestSteadyRate(t *testing.T) {
	is := is.New(t)
	k := &KeyRates{}
	now := start
	k.Decay(now)
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		k.Add(1) // 10/s
		if i >= 30 {
			for range 10 {
				k.Add(2) // 100/s for 7 s
			}
		}
		k.Decay(now)
	}
	is.True(math.Abs(k.SteadyRate(1)-10) < 1)
	is.True(k.SteadyRate(2) > 40)
	for range 80 {
		now = now.Add(100 * time.Millisecond)
		k.Add(1)
		k.Decay(now)
	}
	is.True(math.Abs(k.SteadyRate(1)-10) < 1)
	is.True(k.SteadyRate(2) < 1) // 8 s after the burst
}

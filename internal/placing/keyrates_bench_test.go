package placing

import (
	"testing"
	"time"
)

// BenchmarkDecay measures the decay of all keys, which the holder does before each plan.
func BenchmarkDecay(b *testing.B) {
	k := &KeyRates{}
	now := start
	for n := 0; b.Loop(); n++ {
		if n%20 == 0 {
			for key := range NumKeys {
				k.Add(key)
			}
		}
		now = now.Add(250 * time.Millisecond)
		k.Decay(now)
	}
}

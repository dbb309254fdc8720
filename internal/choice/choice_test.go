package choice

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// naivePowerOfTwo draws two servers by a shuffle and compares their costs in floating
// point.
func naivePowerOfTwo(rng *rand.Rand, scores []Score) int {
	order := rng.Perm(len(scores))[:2]
	cost := func(s, other Score) float64 {
		latency := s.Latency
		if latency == 0 {
			latency = other.Latency
		}
		return float64(s.Outstanding+1)*float64(latency) + float64(s.Wait)
	}
	a, b := scores[order[0]], scores[order[1]]
	key := func(s, other Score) []float64 { return []float64{cost(s, other), float64(s.Outstanding), s.Load} }
	if slices.Compare(key(b, a), key(a, b)) < 0 {
		return order[1]
	}
	return order[0]
}

// Guards against a selection that prefers the worse of two servers or never draws some
// pair: over many draws it must pick each server about as often as the naive version.
func TestPowerOfTwoMatchesNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scores := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Score {
			return Score{
				Outstanding: rapid.IntRange(0, 4).Draw(t, "outstanding"),
				Latency:     time.Duration(rapid.IntRange(0, 5).Draw(t, "latency")) * time.Millisecond,
				Wait:        time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Millisecond,
				Load:        rapid.Float64Range(0, 2).Draw(t, "load"),
			}
		}), 2, 6).Draw(rt, "scores")
		const draws = 6000
		rng := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(rt, "seed")))
		got, want := make([]int, len(scores)), make([]int, len(scores))
		for range draws {
			best, other := PowerOfTwo(rng, len(scores), func(i int) Score { return scores[i] })
			if best == other || Better(scores[other], scores[best]) {
				rt.Fatalf("picked %d over %d", best, other)
			}
			got[best]++
			want[naivePowerOfTwo(rng, scores)]++
		}
		for i := range scores {
			// 6 standard deviations of a difference of two binomial counts.
			if difference := got[i] - want[i]; difference*difference > 36*draws/2 {
				rt.Errorf("server %d was picked %d times, naive %d", i, got[i], want[i])
			}
		}
	})
}

// Guards against an index out of range for fewer than two servers.
func TestPowerOfTwoWithFewServers(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	best, other := PowerOfTwo(rng, 0, nil)
	is.Equal([2]int{best, other}, [2]int{-1, -1})
	best, other = PowerOfTwo(rng, 1, nil)
	is.Equal([2]int{best, other}, [2]int{0, 0})
}

// Guards against a hedge delay that does not follow the 95th percentile, with which far
// too many requests or none would be hedged. The share of samples above the estimate
// must stay between 4% and 6%.
func TestHedgeDelayFollowsP95(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 7))
	for _, scale := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond} {
		var delay HedgeDelay
		_, known := delay.Estimate()
		is.True(!known)
		hedged, total := 0, 0
		for i := range 20000 {
			sample := time.Duration(rng.ExpFloat64() * float64(scale))
			if estimate, ok := delay.Estimate(); ok && i > 1000 {
				total++
				if sample > estimate {
					hedged++
				}
			}
			delay.Observe(sample)
		}
		share := float64(hedged) / float64(total)
		is.True(share > 0.04 && share < 0.06)
	}
}

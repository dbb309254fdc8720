package owners

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against hot neighbouring keys that leave their owner one range at a time: each move takes
// half a second.
func TestHotNeighboursAreSpreadAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var names []string
	for i := range 80 {
		names = append(names, fmt.Sprintf("s%02d", i))
	}
	table := newHeldTable(t, now, names...)
	rates := ratesByKey{}
	for key := 100; key < 160; key++ {
		rates[key] = 5 // 300/s in all, at servers that take 30/s
	}
	table.Plan(now.Add(250*time.Millisecond), service, candidates(names...), rates)
	targets := map[string]float64{}
	for _, m := range table.TakeMoves() {
		for key := m.Interval.From; key <= m.Interval.To; key++ {
			targets[m.To] += rates[key]
		}
	}
	is.True(len(targets) >= 14)
	for _, rate := range targets {
		is.True(rate <= 30*spreadUtilization)
	}
}

// Guards against the wait of a second until the average has followed a burst.
func TestExpectedRateFollowsABurst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	sums := newRateSums()
	sums.update(now, ratesByKey{5: 1})
	sums.update(now.Add(250*time.Millisecond), ratesByKey{5: 1 + 22})
	all := Interval{From: 0, To: NumKeys - 1}
	is.Equal(sums.rateOf(all), 23.0)
	is.True(sums.expectedRateOf(all) > 90) // 100/s
	sums.update(now.Add(500*time.Millisecond), ratesByKey{5: 1})
	is.Equal(sums.expectedRateOf(all), 1.0)
}

package assign

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/hotkey"
	"peridotmoor.org/peridotmoor/internal/key"
)

// imbalance returns the ratio of the most loaded server's load to the mean.
func imbalance(ranges []Range, owners []string, servers int, load func(Range) float64) float64 {
	loads := map[string]float64{}
	total, most := 0.0, 0.0
	for i, r := range ranges {
		loads[owners[i]] += load(r)
		total += load(r)
	}
	for _, l := range loads {
		most = math.Max(most, l)
	}
	return most * float64(servers) / total
}

func ownersOf(a Assignment) []string {
	owners := make([]string, len(a.Ranges))
	for i, r := range a.Ranges {
		owners[i] = r.Owner
	}
	return owners
}

// BenchmarkImbalance measures the ratio of the most loaded server's load to the
// mean after 60 s of plans, with hot keys from the sketch, against the naive
// assignment of the ranges of the first plan. No assignment can get below the
// load of the hottest key, which is reported too.
//
// The case hot17 adds 17 keys with 1.5% of the load each that change every 60 s.
// It reports the mean ratio over time and the time until the overload is
// corrected.
func BenchmarkImbalance(b *testing.B) {
	for _, servers := range []int{10, 20} {
		b.Run(fmt.Sprintf("zipf/servers=%d", servers), func(b *testing.B) {
			for b.Loop() {
				sim := newSimulationWithRanges(servers, 8)
				first := sim.in.Current
				load := zipfLoad(100000, 1000*float64(servers))
				sim.simulate(load, 60*time.Second)
				b.ReportMetric(imbalance(sim.in.Current.Ranges, ownersOf(sim.in.Current), servers, load.ofRange), "max/mean")
				b.ReportMetric(imbalance(first.Ranges, naiveOwners(first.Ranges, sim.in.Servers), servers, load.ofRange), "naive-max/mean")
				b.ReportMetric(slices.Max(load.rates)/1000, "hottest-key/mean")
				b.ReportMetric(float64(len(sim.in.Current.Ranges)), "ranges")
			}
		})
		b.Run(fmt.Sprintf("hot17/servers=%d", servers), func(b *testing.B) {
			for b.Loop() {
				measureChangingHotKeys(b, servers)
			}
		})
	}
}

func measureChangingHotKeys(b *testing.B, servers int) {
	sim := newSimulationWithRanges(servers, 8)
	first := sim.in.Current
	naive := naiveOwners(first.Ranges, sim.in.Servers)
	var sum, naiveSum, correctionSeconds float64
	var rounds, samples, moves int
	for round := range 5 {
		rates := map[key.Hash]float64{}
		base := zipfLoad(20000, 745*float64(servers))
		for i, h := range base.hashes {
			rates[h] = min(base.rates[i], 3*float64(servers))
		}
		for i := range 17 {
			rates[key.HashOf(fmt.Sprintf("hot-%d-%d", round, i))] = 15 * float64(servers)
		}
		load := newKeyLoad(rates)
		lastAbove := 0.0
		for halfSecond := range 120 {
			moves += len(sim.simulate(load, 500*time.Millisecond))
			now := imbalance(sim.in.Current.Ranges, ownersOf(sim.in.Current), servers, load.ofRange)
			sum += now
			naiveSum += imbalance(first.Ranges, naive, servers, load.ofRange)
			samples++
			if now > 1.2 {
				lastAbove = float64(halfSecond+1) / 2
			}
		}
		correctionSeconds += lastAbove
		rounds++
	}
	b.ReportMetric(sum/float64(samples), "max/mean")
	b.ReportMetric(naiveSum/float64(samples), "naive-max/mean")
	b.ReportMetric(correctionSeconds/float64(rounds), "s-above-1.2")
	b.ReportMetric(float64(moves)/float64(rounds), "moves/change")
	b.ReportMetric(float64(len(sim.in.Current.Ranges)), "ranges")
}

// simulate plans every half second under load, with hot keys from a sketch that
// samples one request in 8, and returns the moves.
func (sim *simulation) simulate(load *keyLoad, d time.Duration) []Move {
	sim.load = load.ofRange
	total := load.cumulative[len(load.cumulative)-1]
	if sim.sketch == nil {
		sim.sketch = hotkey.NewSketch(256)
	}
	var moves []Move
	for range d / (500 * time.Millisecond) {
		sim.sketch.Decay(math.Exp2(-0.5 / 3))
		load.sample(sim.sketch, min(int(total/16), 4096), sim.in.Random)
		sim.in.HotKeys = nil
		for _, share := range sim.sketch.Top(32) {
			sim.in.HotKeys = append(sim.in.HotKeys, HotKey{Hash: share.Hash, Rate: share.Share * total})
		}
		moves = append(moves, sim.step(500*time.Millisecond).Moves...)
	}
	return moves
}

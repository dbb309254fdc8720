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

// imbalance returns the load of the most loaded server over the mean.
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

// BenchmarkImbalance measures the most loaded server over the mean after 60 s of
// plans, with keys from the sketch, against the naive deal of the first ranges. No
// assignment gets below the load of the hottest key, which is reported too.
// hot17 adds 17 keys with 1.5% of the load each that change every 60 s, and
// reports the mean over time and the time until the overload is corrected.
func BenchmarkImbalance(b *testing.B) {
	for _, servers := range []int{10, 20} {
		b.Run(fmt.Sprintf("zipf/servers=%d", servers), func(b *testing.B) {
			for b.Loop() {
				s := newBenchOf(servers, 8)
				first := s.in.Current
				load := zipfLoad(100000, 1000*float64(servers))
				s.simulate(load, 60*time.Second)
				b.ReportMetric(imbalance(s.in.Current.Ranges, ownersOf(s.in.Current), servers, load.of), "max/mean")
				b.ReportMetric(imbalance(first.Ranges, naiveOwners(first.Ranges, s.in.Servers), servers, load.of), "naive-max/mean")
				b.ReportMetric(slices.Max(load.rates)/1000, "hottest-key/mean")
				b.ReportMetric(float64(len(s.in.Current.Ranges)), "ranges")
			}
		})
		b.Run(fmt.Sprintf("hot17/servers=%d", servers), func(b *testing.B) {
			for b.Loop() {
				hotKeysChange(b, servers)
			}
		})
	}
}

func hotKeysChange(b *testing.B, servers int) {
	s := newBenchOf(servers, 8)
	first := s.in.Current
	naive := naiveOwners(first.Ranges, s.in.Servers)
	var sum, naiveSum, settled float64
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
		last := 0.0
		for half := range 120 {
			moves += len(s.simulate(load, 500*time.Millisecond))
			now := imbalance(s.in.Current.Ranges, ownersOf(s.in.Current), servers, load.of)
			sum += now
			naiveSum += imbalance(first.Ranges, naive, servers, load.of)
			samples++
			if now > 1.2 {
				last = float64(half+1) / 2
			}
		}
		settled += last
		rounds++
	}
	b.ReportMetric(sum/float64(samples), "max/mean")
	b.ReportMetric(naiveSum/float64(samples), "naive-max/mean")
	b.ReportMetric(settled/float64(rounds), "s-above-1.2")
	b.ReportMetric(float64(moves)/float64(rounds), "moves/change")
	b.ReportMetric(float64(len(s.in.Current.Ranges)), "ranges")
}

// simulate plans every half second under load, with hot keys from a sketch of one
// request in 8, and returns the moves.
func (b *bench) simulate(load *keyLoad, d time.Duration) []Move {
	b.load = load.of
	total := load.sums[len(load.sums)-1]
	if b.sketch == nil {
		b.sketch = hotkey.NewSketch(256)
	}
	var moves []Move
	for range d / (500 * time.Millisecond) {
		b.sketch.Decay(math.Exp2(-0.5 / 3))
		load.sample(b.sketch, min(int(total/16), 4096), b.in.Random)
		b.in.HotKeys = nil
		for _, share := range b.sketch.Top(32) {
			b.in.HotKeys = append(b.in.HotKeys, HotKey{Hash: share.Hash, Rate: share.Share * total})
		}
		moves = append(moves, b.step(500*time.Millisecond).Moves...)
	}
	return moves
}

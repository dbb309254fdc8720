package assign

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/hotkey"
	"peridotmoor.org/peridotmoor/internal/key"
)

// naiveOwners deals ranges to the usable servers by number, as a recomputation
// by modulo does. It is the baseline of this file.
func naiveOwners(ranges []Range, servers []Server) []string {
	var usable []string
	for _, s := range servers {
		if s.State.Usable() {
			usable = append(usable, s.Name)
		}
	}
	owners := make([]string, len(ranges))
	for i := range ranges {
		owners[i] = usable[i%len(usable)]
	}
	return owners
}

// BenchmarkPlan measures one plan of a shard in service (steady), after the loss
// of a server, and the first plan, against the naive recomputation.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ servers, perServer int }{{10, 8}, {20, 8}, {100, 8}, {930, 9}} {
		s := newBenchOf(size.servers, size.perServer)
		name := fmt.Sprintf("servers=%d/ranges=%d", size.servers, len(s.in.Current.Ranges))
		lost := s.in
		lost.Servers = append([]Server{}, s.in.Servers...)
		lost.Servers[3].State = Lost
		first := s.in
		first.Current = Assignment{}
		first.Loads = nil
		for _, test := range []struct {
			name string
			in   Input
		}{{"steady", s.in}, {"loss", lost}, {"first", first}} {
			b.Run(name+"/"+test.name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					NewPlanner().Plan(test.in)
				}
			})
		}
		b.Run(name+"/naive", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				naiveOwners(s.in.Current.Ranges, s.in.Servers)
			}
		})
	}
}

func newBenchOf(servers, perServer int) *bench {
	b := newBench(servers)
	b.in.Settings.RangesPerServer = perServer
	b.in.Current = Assignment{}
	b.step(0)
	b.in.Loads = make([]float64, len(b.in.Current.Ranges))
	for i, r := range b.in.Current.Ranges {
		b.in.Loads[i] = b.load(r)
	}
	return b
}

// keyLoad is the load per key, as sorted hashes and summed rates.
type keyLoad struct {
	hashes []key.Hash
	rates  []float64
	sums   []float64
}

// zipfLoad spreads total requests/s over count keys with exponent 1.
func zipfLoad(count int, total float64) *keyLoad {
	harmonic := 0.0
	for i := range count {
		harmonic += 1 / float64(i+1)
	}
	rates := map[key.Hash]float64{}
	for i := range count {
		rates[key.HashOf(fmt.Sprintf("key-%d", i))] += total / harmonic / float64(i+1)
	}
	return newKeyLoad(rates)
}

func newKeyLoad(rates map[key.Hash]float64) *keyLoad {
	l := &keyLoad{sums: []float64{0}}
	for h := range rates {
		l.hashes = append(l.hashes, h)
	}
	sort.Slice(l.hashes, func(i, j int) bool { return l.hashes[i] < l.hashes[j] })
	for i, h := range l.hashes {
		l.rates = append(l.rates, rates[h])
		l.sums = append(l.sums, l.sums[i]+rates[h])
	}
	return l
}

// of returns the load of a range.
func (l *keyLoad) of(r Range) float64 {
	from := sort.Search(len(l.hashes), func(i int) bool { return l.hashes[i] >= r.Bounds.Start })
	to := sort.Search(len(l.hashes), func(i int) bool { return l.hashes[i] > r.Bounds.Last() })
	return l.sums[to] - l.sums[from]
}

// sample adds n requests to the sketch.
func (l *keyLoad) sample(s *hotkey.Sketch, n int, random *rand.Rand) {
	total := l.sums[len(l.sums)-1]
	for range n {
		at := random.Float64() * total
		i := sort.Search(len(l.sums), func(i int) bool { return l.sums[i] > at }) - 1
		s.Add(l.hashes[min(i, len(l.hashes)-1)])
	}
}

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

// BenchmarkChurn measures the share of the ranges that change owner when one
// server or one failure domain leaves and returns, within 60 s each, against the
// naive recomputation by modulo.
func BenchmarkChurn(b *testing.B) {
	for _, servers := range []int{9, 21, 930} {
		for _, domain := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/domain=%v", servers, domain), func(b *testing.B) {
				for b.Loop() {
					churn(b, servers, domain)
				}
			})
		}
	}
}

func churn(b *testing.B, servers int, domain bool) {
	s := newBenchOf(servers, 8)
	ranges := s.in.Current.Ranges
	gone := 0
	set := func(state ServerState) {
		gone = 0
		for i := range s.in.Servers {
			if i == 1 || (domain && s.in.Servers[i].Domain == "d1") {
				s.in.Servers[i].State = state
				gone++
			}
		}
	}
	naive := naiveOwners(ranges, s.in.Servers)
	set(Out)
	left := len(s.run(60 * time.Second))
	naiveOut := naiveOwners(ranges, s.in.Servers)
	set(In)
	returned := len(s.run(60 * time.Second))
	count := float64(len(ranges))
	b.ReportMetric(float64(left)/count, "moved-out")
	b.ReportMetric(float64(returned)/count, "moved-back")
	b.ReportMetric(differ(naive, naiveOut), "naive-out")
	b.ReportMetric(differ(naiveOut, naive), "naive-back")
	b.ReportMetric(float64(gone)/float64(servers), "share-gone")
	b.ReportMetric(imbalance(s.in.Current.Ranges, ownersOf(s.in.Current), servers, s.load), "max/mean")
}

func differ(a, b []string) float64 {
	count := 0
	for i := range a {
		if a[i] != b[i] {
			count++
		}
	}
	return float64(count) / float64(len(a))
}

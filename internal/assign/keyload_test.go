package assign

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"peridotmoor.org/peridotmoor/internal/hotkey"
	"peridotmoor.org/peridotmoor/internal/key"
)

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

package assign

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"peridotmoor.org/peridotmoor/internal/hotkey"
	"peridotmoor.org/peridotmoor/internal/key"
)

// keyLoad is the load per key: sorted hashes with their rates and cumulative
// rates.
type keyLoad struct {
	hashes     []key.Hash
	rates      []float64
	cumulative []float64
}

// zipfLoad distributes total requests/s over count keys by Zipf's law with
// exponent 1.
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
	l := &keyLoad{cumulative: []float64{0}}
	for h := range rates {
		l.hashes = append(l.hashes, h)
	}
	sort.Slice(l.hashes, func(i, j int) bool { return l.hashes[i] < l.hashes[j] })
	for i, h := range l.hashes {
		l.rates = append(l.rates, rates[h])
		l.cumulative = append(l.cumulative, l.cumulative[i]+rates[h])
	}
	return l
}

// ofRange returns the load of a range.
func (l *keyLoad) ofRange(r Range) float64 {
	from := sort.Search(len(l.hashes), func(i int) bool { return l.hashes[i] >= r.Bounds.Start })
	to := sort.Search(len(l.hashes), func(i int) bool { return l.hashes[i] > r.Bounds.Last() })
	return l.cumulative[to] - l.cumulative[from]
}

// sample adds n requests, drawn in proportion to the rates, to the sketch.
func (l *keyLoad) sample(s *hotkey.Sketch, n int, random *rand.Rand) {
	total := l.cumulative[len(l.cumulative)-1]
	for range n {
		at := random.Float64() * total
		i := sort.Search(len(l.cumulative), func(i int) bool { return l.cumulative[i] > at }) - 1
		s.Add(l.hashes[min(i, len(l.hashes)-1)])
	}
}

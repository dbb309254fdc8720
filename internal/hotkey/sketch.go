package hotkey

import (
	"container/heap"
	"slices"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Sketch counts the most frequent keys of a stream with a fixed number of
// counters (the space-saving algorithm, Metwally et al. 2005). It is not safe for
// concurrent use.
type Sketch struct {
	capacity int
	counters map[key.Hash]*counter
	byWeight counterHeap
	total    float64
}

// NewSketch returns a sketch with capacity counters. The sketch finds each key whose
// share of the stream is well above 1/capacity.
func NewSketch(capacity int) *Sketch {
	return &Sketch{capacity: capacity, counters: make(map[key.Hash]*counter, capacity)}
}

// Add counts one occurrence of h. If all counters are in use, a key without a counter
// takes over the one with the lowest weight.
func (s *Sketch) Add(h key.Hash) {
	s.total++
	c, known := s.counters[h]
	switch {
	case known:
		c.weight++
		heap.Fix(&s.byWeight, c.heapIndex)
	case len(s.byWeight) < s.capacity:
		c = &counter{hash: h, weight: 1}
		s.counters[h] = c
		heap.Push(&s.byWeight, c)
	default:
		c = s.byWeight[0]
		delete(s.counters, c.hash)
		c.hash, c.maxError = h, c.weight
		c.weight++
		s.counters[h] = c
		heap.Fix(&s.byWeight, 0)
	}
}

// Decay multiplies all weights by factor, so that old occurrences lose influence, and
// drops counters with a weight below 0.5.
func (s *Sketch) Decay(factor float64) {
	s.total *= factor
	for _, c := range s.byWeight {
		c.weight *= factor
		c.maxError *= factor
	}
	for len(s.byWeight) > 0 && s.byWeight[0].weight < 0.5 {
		c := heap.Pop(&s.byWeight).(*counter)
		delete(s.counters, c.hash)
	}
}

// Total returns the number of occurrences, decayed like the weights.
func (s *Sketch) Total() float64 {
	return s.total
}

// Top returns at most n keys by descending share, then ascending hash.
func (s *Sketch) Top(n int) []KeyShare {
	top := make([]KeyShare, 0, len(s.byWeight))
	for _, c := range s.byWeight {
		top = append(top, KeyShare{Hash: c.hash, Share: (c.weight - c.maxError) / max(s.total, 1)})
	}
	slices.SortFunc(top, compareShares)
	return top[:min(n, len(top))]
}

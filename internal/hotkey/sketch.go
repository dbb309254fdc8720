package hotkey

import (
	"container/heap"
	"slices"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Sketch counts the most frequent keys of a stream with a fixed number of
// counters (space-saving, Metwally et al. 2005). It has one user at a time.
type Sketch struct {
	capacity int
	counters map[key.Hash]*counter
	byWeight counterHeap
	total    float64
}

// NewSketch returns a sketch with limit counters. The sketch finds a key whose
// share of the stream is well above 1/limit.
func NewSketch(capacity int) *Sketch {
	return &Sketch{capacity: capacity, counters: make(map[key.Hash]*counter, capacity)}
}

// Add counts one occurrence of h. A key without a counter takes over the lowest one.
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

// Decay multiplies all counts by factor, so that old occurrences fade.
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

// Total returns the decayed number of occurrences.
func (s *Sketch) Total() float64 {
	return s.total
}

// Top returns at most n keys by falling share, then rising hash.
func (s *Sketch) Top(n int) []KeyShare {
	top := make([]KeyShare, 0, len(s.byWeight))
	for _, c := range s.byWeight {
		top = append(top, KeyShare{Hash: c.hash, Share: (c.weight - c.maxError) / max(s.total, 1)})
	}
	slices.SortFunc(top, compareShares)
	return top[:min(n, len(top))]
}

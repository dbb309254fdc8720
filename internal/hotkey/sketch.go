package hotkey

import (
	"container/heap"
	"slices"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Sketch counts the most frequent keys of a stream with a fixed number of
// counters (space-saving, Metwally et al. 2005). It has one user at a time.
type Sketch struct {
	limit    int
	counters map[key.Hash]*counter
	lowest   counterHeap
	total    float64
}

// NewSketch returns a sketch with limit counters. The sketch finds a key whose
// share of the stream is well above 1/limit.
func NewSketch(limit int) *Sketch {
	return &Sketch{limit: limit, counters: make(map[key.Hash]*counter, limit)}
}

// Add counts one occurrence of h. A key without a counter takes over the lowest one.
func (s *Sketch) Add(h key.Hash) {
	s.total++
	c, known := s.counters[h]
	switch {
	case known:
		c.weight++
		heap.Fix(&s.lowest, c.index)
	case len(s.lowest) < s.limit:
		c = &counter{hash: h, weight: 1}
		s.counters[h] = c
		heap.Push(&s.lowest, c)
	default:
		c = s.lowest[0]
		delete(s.counters, c.hash)
		c.hash, c.excess = h, c.weight
		c.weight++
		s.counters[h] = c
		heap.Fix(&s.lowest, 0)
	}
}

// Decay multiplies all counts by factor, so that old occurrences fade.
func (s *Sketch) Decay(factor float64) {
	s.total *= factor
	for _, c := range s.lowest {
		c.weight *= factor
		c.excess *= factor
	}
	for len(s.lowest) > 0 && s.lowest[0].weight < 0.5 {
		c := heap.Pop(&s.lowest).(*counter)
		delete(s.counters, c.hash)
	}
}

// Total returns the decayed number of occurrences.
func (s *Sketch) Total() float64 {
	return s.total
}

// Top returns at most n keys by falling share, then rising hash.
func (s *Sketch) Top(n int) []KeyShare {
	top := make([]KeyShare, 0, len(s.lowest))
	for _, c := range s.lowest {
		top = append(top, KeyShare{Hash: c.hash, Share: (c.weight - c.excess) / max(s.total, 1)})
	}
	slices.SortFunc(top, compareShares)
	return top[:min(n, len(top))]
}

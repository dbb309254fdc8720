package hotkey

import (
	"slices"

	"peridotmoor.org/peridotmoor/internal/key"
)

// Sketch counts the most frequent keys of a stream with a fixed number of
// counters (space-saving, Metwally et al. 2005). It has one user at a time.
type Sketch struct {
	limit    int
	counters map[key.Hash]*counter
	total    float64
}

// counter overestimates the weight of a key by at most excess.
type counter struct {
	weight float64
	excess float64
}

// Share is a key with its part of the stream.
type Share struct {
	Hash key.Hash
	// Share is the guaranteed part, from 0 to 1.
	Share float64
}

// NewSketch returns a sketch with limit counters.
func NewSketch(limit int) *Sketch {
	return &Sketch{limit: limit, counters: make(map[key.Hash]*counter, limit)}
}

// Add counts one occurrence of h.
func (s *Sketch) Add(h key.Hash) {
	s.total++
	if c, known := s.counters[h]; known {
		c.weight++
		return
	}
	if len(s.counters) < s.limit {
		s.counters[h] = &counter{weight: 1}
		return
	}
	lowest := s.lowest()
	c := s.counters[lowest]
	delete(s.counters, lowest)
	s.counters[h] = &counter{weight: c.weight + 1, excess: c.weight}
}

// Decay multiplies all counts by factor, so that old occurrences fade.
func (s *Sketch) Decay(factor float64) {
	s.total *= factor
	for h, c := range s.counters {
		c.weight *= factor
		c.excess *= factor
		if c.weight < 0.5 {
			delete(s.counters, h)
		}
	}
}

// Total returns the decayed number of occurrences.
func (s *Sketch) Total() float64 {
	return s.total
}

// Top returns the counted keys by falling share, then rising hash.
func (s *Sketch) Top() []Share {
	top := make([]Share, 0, len(s.counters))
	for h, c := range s.counters {
		top = append(top, Share{Hash: h, Share: (c.weight - c.excess) / max(s.total, 1)})
	}
	slices.SortFunc(top, compareShares)
	return top
}

func compareShares(a, b Share) int {
	switch {
	case a.Share > b.Share:
		return -1
	case a.Share < b.Share:
		return 1
	case a.Hash < b.Hash:
		return -1
	case a.Hash > b.Hash:
		return 1
	}
	return 0
}

// lowest returns the key with the least weight, the lowest hash among equals.
func (s *Sketch) lowest() key.Hash {
	first := true
	var best key.Hash
	var weight float64
	for h, c := range s.counters {
		if first || c.weight < weight || (c.weight == weight && h < best) {
			best, weight, first = h, c.weight, false
		}
	}
	return best
}

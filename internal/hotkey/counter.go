package hotkey

import "peridotmoor.org/peridotmoor/internal/key"

// counter overestimates the weight of a key by at most excess.
type counter struct {
	hash     key.Hash
	weight   float64
	maxError float64
	// heapIndex is the position in the heap.
	heapIndex int
}

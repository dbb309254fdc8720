package hotkey

import "peridotmoor.org/peridotmoor/internal/key"

// counter estimates the weight of a key. The estimate exceeds the true weight by at most
// maxError.
type counter struct {
	hash     key.Hash
	weight   float64
	maxError float64
	// heapIndex is the position in the heap.
	heapIndex int
}

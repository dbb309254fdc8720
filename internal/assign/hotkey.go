package assign

import "peridotmoor.org/peridotmoor/internal/key"

// HotKey is a frequent key that the sketch reports, with its request rate.
type HotKey struct {
	Hash key.Hash
	// Rate is in requests per second.
	Rate float64
}

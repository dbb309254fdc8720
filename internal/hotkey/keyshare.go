package hotkey

import "peridotmoor.org/peridotmoor/internal/key"

// KeyShare is a key with its part of the stream.
type KeyShare struct {
	Hash key.Hash
	// Share is the guaranteed part, from 0 to 1.
	Share float64
}

// compareShares orders by falling share, then rising hash.
func compareShares(a, b KeyShare) int {
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

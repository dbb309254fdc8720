package hotkey

import "peridotmoor.org/peridotmoor/internal/key"

// KeyShare is a key and its share of the requests.
type KeyShare struct {
	Hash key.Hash
	// Share is a lower bound of the key's share, from 0 to 1.
	Share float64
}

// compareShares orders by descending share, then ascending hash.
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

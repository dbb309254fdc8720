// Package key maps keys to hashes and hashes to shards. It does no I/O and keeps no
// state.
package key

import "github.com/cespare/xxhash/v2"

// Hash is the position of a key in the 64-bit hash space.
type Hash uint64

// HashOf returns the xxhash64 of key.
func HashOf(key string) Hash {
	return Hash(xxhash.Sum64String(key))
}

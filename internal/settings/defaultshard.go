package settings

import (
	"strconv"

	"peridotmoor.org/peridotmoor/internal/key"
)

// DefaultShard returns the shard of a server whose section sets none. It uses
// rendezvous hashing: the shard with the highest hash of server name and index.
func DefaultShard(server string, shards int) int {
	best, bestScore := 0, key.Hash(0)
	for i := range shards {
		score := key.HashOf(server + "/" + strconv.Itoa(i))
		if i == 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

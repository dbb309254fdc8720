package settings

import (
	"strconv"

	"peridotmoor.org/peridotmoor/internal/key"
)

// DefaultShard returns the shard of a server that states none: the one with the
// highest hash of server name and shard index (rendezvous hash).
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

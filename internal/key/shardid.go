package key

import (
	"fmt"
	"math/bits"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ShardID names one shard of a service: the unit of authority.
type ShardID struct {
	Service string
	Index   int
}

// String formats the ID as service/index.
func (s ShardID) String() string {
	return s.Service + "/" + strconv.Itoa(s.Index)
}

// ParseShardID reads the form that String writes.
func ParseShardID(text string) (ShardID, error) {
	service, index, found := strings.Cut(text, "/")
	if !found || service == "" {
		return ShardID{}, errors.Errorf("shard %q is not of the form service/index", text)
	}
	number, err := strconv.Atoi(index)
	if err != nil || number < 0 {
		return ShardID{}, errors.Errorf("index %q of shard %q is not a whole number of 0 or more", index, text)
	}
	return ShardID{Service: service, Index: number}, nil
}

// ShardIndex returns the shard that owns h when the hash space is cut into
// shards equal intervals. shards must be at least 1.
func ShardIndex(h Hash, shards int) int {
	high, _ := bits.Mul64(uint64(h), uint64(shards))
	return int(high)
}

// ShardRange returns the interval of the hash space that shard index covers.
// It panics when index is outside [0, shards).
func ShardRange(index, shards int) Range {
	if index < 0 || index >= shards {
		panic(fmt.Sprintf("shard index %d is outside 0..%d", index, shards-1))
	}
	return Range{Start: shardStart(index, shards), End: shardStart(index+1, shards)}
}

// shardStart returns ceil(index * 2^64 / shards), or 0 for the upper end of the space.
func shardStart(index, shards int) Hash {
	if index == 0 || index == shards {
		return 0
	}
	quotient, remainder := bits.Div64(uint64(index), 0, uint64(shards))
	if remainder > 0 {
		quotient++
	}
	return Hash(quotient)
}

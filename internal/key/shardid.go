package key

import (
	"fmt"
	"math/bits"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ShardID identifies a shard of a service. Each shard has its own holder.
type ShardID struct {
	Service string
	Index   int
}

// String formats the ID as service/index.
func (s ShardID) String() string {
	return s.Service + "/" + strconv.Itoa(s.Index)
}

// ParseShardID parses the format of String.
func ParseShardID(text string) (ShardID, error) {
	service, index, found := strings.Cut(text, "/")
	if !found || service == "" {
		return ShardID{}, errors.Errorf("shard %q is not of the form service/index", text)
	}
	number, err := strconv.Atoi(index)
	if err != nil || number < 0 {
		return ShardID{}, errors.Errorf("index %q of shard %q is not a non-negative integer", index, text)
	}
	return ShardID{Service: service, Index: number}, nil
}

// ShardIndex returns the index of the shard that contains h when the hash space is
// divided into shards equal intervals. shards must be at least 1.
func ShardIndex(h Hash, shards int) int {
	high, _ := bits.Mul64(uint64(h), uint64(shards))
	return int(high)
}

// ShardRange returns the interval of the hash space that the shard with the index covers.
// It panics if index is not in [0, shards).
func ShardRange(index, shards int) Range {
	if index < 0 || index >= shards {
		panic(fmt.Sprintf("shard index %d is outside 0..%d", index, shards-1))
	}
	return Range{Start: shardStart(index, shards), End: shardStart(index+1, shards)}
}

// shardStart returns ceil(index * 2^64 / shards) modulo 2^64.
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

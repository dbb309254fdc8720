package key

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against hashes that belong to two shards or to none, including those at the
// bounds of shards.
func TestShardRangesPartitionTheHashSpace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shards := rapid.IntRange(1, 1024).Draw(rt, "shards")
		h := Hash(rapid.Uint64().Draw(rt, "hash"))
		index := ShardIndex(h, shards)
		if !ShardRange(index, shards).Contains(h) {
			rt.Fatalf("hash %x is not in the range of its shard %d of %d", h, index, shards)
		}
		start := ShardRange(index, shards).Start
		if ShardIndex(start, shards) != index {
			rt.Fatalf("start %x of shard %d belongs to shard %d", start, index, ShardIndex(start, shards))
		}
		if start > 0 && ShardIndex(start-1, shards) != index-1 {
			rt.Fatalf("hash below the start of shard %d belongs to shard %d", index, ShardIndex(start-1, shards))
		}
	})
}

// Guards against a malformed shard ID that is parsed as another shard.
func TestParseShardID(t *testing.T) {
	cases := []struct {
		text string
		want ShardID
		ok   bool
	}{
		{"bosho/3", ShardID{"bosho", 3}, true},
		{"bosho", ShardID{}, false},
		{"/3", ShardID{}, false},
		{"bosho/-1", ShardID{}, false},
		{"bosho/x", ShardID{}, false},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			got, err := ParseShardID(c.text)
			is.Equal(err == nil, c.ok)
			is.Equal(got, c.want)
		})
	}
}

package router

import (
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/shard"
)

// Guards against a wrong imbalance ratio when some servers own no ranges or the shard
// has no load.
func TestImbalance(t *testing.T) {
	cases := []struct {
		name    string
		servers []shard.ServerStatus
		want    float64
	}{
		{"no servers", nil, 1},
		{"idle", []shard.ServerStatus{{Ranges: 2}, {Ranges: 2}}, 1},
		{"even", []shard.ServerStatus{{Ranges: 2, RequestRate: 10}, {Ranges: 2, RequestRate: 10}}, 1},
		{"one hot", []shard.ServerStatus{{Ranges: 2, RequestRate: 30}, {Ranges: 2, RequestRate: 10}}, 1.5},
		{"server without ranges does not count", []shard.ServerStatus{{Ranges: 2, RequestRate: 10}, {}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(imbalanceOf(c.servers), c.want)
		})
	}
}

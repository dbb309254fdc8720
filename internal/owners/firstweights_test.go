package owners

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a first plan that does not use known speeds, and against one by which servers
// are unequally utilized at the crest of the load.
func TestFirstPlanFollowsKnownSpeeds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	servers := candidates("a", "b", "c", "d")
	servers[0].ServiceTime, servers[3].ServiceTime = 0.2, 0.05
	table := NewTable(Record{Epoch: 1}, "holder", now)
	table.Plan(now.Add(-firstPlanDelay), service, servers, uniformRates{})
	is.True(table.Plan(now, service, servers, uniformRates{}))
	keys := map[string]int{}
	next := 0
	for _, r := range table.OwnedRanges(service) {
		is.Equal(r.From, next)
		next = r.To + 1
		keys[r.Owner] += r.Size()
	}
	is.Equal(next, NumKeys)
	for name, share := range map[string]float64{"a": 1.0 / 9, "b": 2.0 / 9, "c": 2.0 / 9, "d": 4.0 / 9} {
		is.True(math.Abs(float64(keys[name])-share*NumKeys) <= 1)
	}
}

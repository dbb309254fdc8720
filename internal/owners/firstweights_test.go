package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a first plan that gives slow servers as many keys as fast ones although their
// speeds are known, and against servers without keys.
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
	is.True(keys["a"] >= 1)
	is.True(4*keys["a"] <= keys["b"])
	is.True(keys["d"] >= 3*keys["b"]/2)
}

package owners

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A key that saturates its server must not prevent other busy servers from being
// relieved.
func TestKeyThatSaturatesAServerDoesNotBlockRebalancing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b", "c", "d")
	rates := ratesByKey{10: 300} // owned by a, whose capacity is 30/s
	for _, r := range table.services[service] {
		if r.owner.Name == "b" {
			rates[r.From+1], rates[r.From+100], rates[r.From+200] = 12, 12, 12
		}
	}
	moved := false
	for range 8 {
		now = now.Add(250 * time.Millisecond)
		table.Plan(now, service, candidates("a", "b", "c", "d"), rates)
		for _, m := range table.TakeMoves() {
			moved = moved || m.From == "b"
		}
		table.MarkStored(table.PlanVersion())
		for _, o := range table.TakeDueOrders(now, listing("a", "b", "c", "d")) {
			table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
		}
	}
	is.True(moved)
}

// In a large fleet, servers that join must not receive their keys one after the other.
func TestManyServersJoinConcurrently(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var old, all []string
	for i := range 200 {
		name := fmt.Sprintf("s%03d", i)
		if i < 150 {
			old = append(old, name)
		}
		all = append(all, name)
	}
	table := newHeldTable(t, now, old...)
	table.Plan(now, service, candidates(all...), uniformRates{})
	is.Equal(len(table.TakeMoves()), 200/serversPerMove)
	is.Equal(maxConcurrentMoves(20), minConcurrentMoves)
}

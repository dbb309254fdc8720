package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backpressure"
)

// Guards against keys that stay with a server whose named limit is below their load, while
// other servers have room, and against keys that are moved to it.
func TestKeysLeaveAServerThatNamesALimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b", "c")
	rates := ratesByKey{}
	for key := 0; key < NumKeys; key += 1024 {
		rates[key] = 0.5 // about 11/s for each server, whose slots allow 30/s
	}
	limited := candidates("a", "b", "c")
	limited[0].Limit = backpressure.Limit{Named: true, PerSecond: 4}
	for range 60 {
		now = now.Add(250 * time.Millisecond)
		table.Plan(now, service, limited, rates)
		for _, m := range table.TakeMoves() {
			is.True(m.To != "a")
		}
		table.MarkStored(table.PlanVersion())
		for _, o := range table.TakeDueOrders(now, listing("a", "b", "c")) {
			table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
		}
	}
	left := 0.0
	for key, rate := range rates {
		if owner, _ := table.Owner(service, key); owner == "a" {
			left += rate
		}
	}
	is.True(left <= 4)
	is.True(left >= 1) // it keeps a part
}

// Guards against servers with room that get no keys because all servers together are busier
// than the mark from which on a server counts as busy.
func TestBusyServersAreRelievedInABusyFleet(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b", "c")
	rates := ratesByKey{}
	for _, r := range table.services[service] {
		load := 1.0 // b and c: 24/s each, of 30/s
		if r.owner.Name == "a" {
			load = 1.75 // 42/s
		}
		for n := range 24 {
			rates[r.From+100*n] = load
		}
	}
	table.Plan(now.Add(250*time.Millisecond), service, candidates("a", "b", "c"), rates)
	moved := 0.0
	for _, m := range table.TakeMoves() {
		for key := m.Interval.From; key <= m.Interval.To; key++ {
			moved += rates[key]
		}
	}
	is.True(moved >= 3) // up to the average, which is 28 of 30/s
}

package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// restartedA returns the listing of both servers after a was restarted under its name.
func restartedA() incarnationMap {
	out := listing("a", "b")
	out["a"] = fleet.Incarnation{Name: "a", StartMS: 2}
	return out
}

// newMoveOffA returns a table in which a key moves from a to b.
func newMoveOffA(t *testing.T, now time.Time) (table *Table, key int) {
	t.Helper()
	table = newHeldTable(t, now, "a", "b")
	table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20})
	key = movedKey(t, table)
	confirmMoves(t, table, now, "a", "b")
	table.MarkStored(table.PlanVersion())
	return table, key
}

// Guards against two owners of a key: its previous owner was restarted under its name, and
// the last renewal, which names no incarnation, reached the new process.
func TestRestartedOwnerReleasesItsKeys(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table, key := newMoveOffA(t, now)
	var orders []Order
	for range 5 {
		for _, o := range table.TakeDueOrders(now, restartedA()) {
			if o.Contains(key) {
				orders = append(orders, o)
			}
			table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
		}
	}
	is.Equal(len(orders), 2)
	is.Equal(orders[0].Action, ActionRelease)
	is.Equal(orders[0].Server, fleet.Incarnation{Name: "a", StartMS: 2})
	is.Equal(orders[1].Action, ActionGrant)
	is.Equal(orders[1].Server, incarnation("b"))
}

// Guards against the same when the new process does not answer: its grant has to expire.
func TestUnresponsiveRestartedOwnerKeepsItsKeysUntilTheGrantExpires(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	table, key := newMoveOffA(t, start)
	now, granted := start, time.Time{}
	for ; granted.IsZero() && now.Sub(start) < 2*GrantDuration; now = now.Add(50 * time.Millisecond) {
		for _, o := range table.TakeDueOrders(now, restartedA()) {
			result := OrderResult{Order: o, Outcome: OutcomeDone, Ended: now}
			switch {
			case o.Server.Name == "a":
				result.Outcome = OutcomeNoAnswer
			case o.Contains(key):
				granted = now
			}
			table.Apply(result)
		}
	}
	is.True(granted.Sub(start) >= GrantDuration)
	is.True(granted.Sub(start) < GrantDuration+time.Second)
}

// Guards against keys without an owner after a restart: a server that gets its own keys again
// needs no release, since the grant to its new process has a higher fence.
func TestRestartedOwnerGetsItsKeysAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	servers := candidates("a", "b")
	servers[0].StartMS = 2
	is.True(table.Plan(now, service, servers, uniformRates{}))
	table.MarkStored(table.PlanVersion())
	orders := table.TakeDueOrders(now, restartedA())
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Action, ActionGrant)
	is.Equal(orders[0].Server, servers[0].Incarnation)
}

// Guards against two owners of a key: the new process of a restarted server holds it by a
// renewal for the old one, no grant of its own reaches it, and the key moves on.
func TestKeysOfARestartedOwnerMoveOnOnceTheirGrantHasEnded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	servers := candidates("a", "b")
	servers[0].StartMS = 2
	is.True(table.Plan(now, service, servers, uniformRates{}))
	table.MarkStored(table.PlanVersion())
	for _, o := range table.TakeDueOrders(now, restartedA()) {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeUnsent, Ended: now})
	}
	is.True(table.Plan(now, service, candidates("b"), uniformRates{})) // a leaves
	table.MarkStored(table.PlanVersion())
	for _, o := range table.TakeDueOrders(now, restartedA()) {
		is.True(o.Action == ActionRelease || o.Server.Name == "b" && !o.Contains(0))
		table.Apply(OrderResult{Order: o, Outcome: OutcomeNoAnswer, Ended: now})
	}
	for _, o := range table.TakeDueOrders(now.Add(time.Second), restartedA()) {
		is.True(o.Action == ActionRelease || !o.Contains(0))
	}
}

// Guards against keys that never get an owner again: their previous one is restarted again
// and again and answers nothing, and each new process postponed the expiry of its grant.
func TestOwnerThatIsRestartedAgainAndAgainLosesItsKeys(t *testing.T) {
	for _, interval := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		is := is.New(t)
		start := time.Unix(1000, 0)
		table, key := newMoveOffA(t, start)
		for _, r := range table.services[service] {
			if r.previous != nil {
				r.previous.UnansweredUntil = start.Add(GrantDuration)
			}
		}
		now, granted := start, time.Time{}
		for ; granted.IsZero() && now.Sub(start) < 10*GrantDuration; now = now.Add(50 * time.Millisecond) {
			listed := listing("a", "b")
			listed["a"] = fleet.Incarnation{Name: "a", StartMS: 1 + int64(now.Sub(start)/interval)}
			for _, o := range table.TakeDueOrders(now, listed) {
				result := OrderResult{Order: o, Outcome: OutcomeDone, Ended: now.Add(OrderTimeout)}
				switch {
				case o.Server.Name == "a":
					result.Outcome = OutcomeNoAnswer
				case o.Contains(key):
					granted = now
				}
				table.Apply(result)
			}
		}
		is.True(granted.Sub(start) >= GrantDuration)
		is.True(granted.Sub(start) < 3*GrantDuration)
	}
}

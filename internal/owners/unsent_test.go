package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against two owners of a key: an order that was not sent took back the expiry that
// the late result of an earlier one had shown meanwhile.
func TestUnsentOrderKeepsTheExpiryOfAnEarlierOne(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	renewals := table.TakeDueOrders(now, listing("a", "b"))
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20})) // splits the range of a
	moved := movedKey(t, table)
	var second []Order // renewals of what a keeps
	for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
		if o.Server.Name == "a" {
			second = append(second, o)
		}
	}
	is.True(len(second) > 0)
	kept := second[0].From
	is.True(kept != moved)
	arrived := now.Add(3 * time.Second) // neither the holder nor its calls were scheduled meanwhile
	for _, o := range renewals {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeNoAnswer, Ended: arrived})
	}
	for _, o := range second {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeUnsent, Ended: arrived})
	}
	is.True(table.Plan(arrived, service, candidates("b"), uniformRates{})) // a leaves
	table.MarkStored(table.PlanVersion())
	for at := arrived; at.Before(arrived.Add(GrantDuration)); at = at.Add(100 * time.Millisecond) {
		for _, o := range table.TakeDueOrders(at, listing("b")) {
			if o.Action == ActionGrant && o.Contains(kept) && o.Server.Name == "b" {
				t.Fatalf("key %d granted to another server %v after a grant to its owner may have arrived", kept, at.Sub(arrived))
			}
			table.Apply(OrderResult{Order: o, Outcome: OutcomeUnsent, Ended: at})
		}
	}
}

// Guards against keys without an owner: an order that was not sent brought back the expiry
// assumed for earlier holders, which had been shortened meanwhile.
func TestUnsentOrderKeepsTheShortenedExpiry(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := newHeldTable(t, now, "a", "b").Record()
	record.Epoch++
	table := NewTable(record, "successor", now.Add(20*time.Second))
	orders := table.TakeDueOrders(now, listing("a", "b"))
	table.ShortenInheritedGrants(now.Add(5 * time.Second))
	for _, o := range orders {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeUnsent, Ended: now})
	}
	is.True(table.Plan(now, service, candidates("b"), uniformRates{})) // a leaves
	table.MarkStored(table.PlanVersion())
	granted := false
	for _, o := range table.TakeDueOrders(now.Add(5*time.Second+time.Millisecond), listing("b")) {
		granted = granted || o.Action == ActionGrant && o.Contains(0)
	}
	is.True(granted)
}

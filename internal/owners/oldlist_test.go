package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Guards against two owners of a key: a new holder whose list of servers is older than the
// record takes the earlier process of an owner for the one that has followed it.
func TestEarlierIncarnationInAnOldListProvesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table, key := newMoveOffA(t, now)
	record := table.Record()
	record.Epoch++
	for name := range record.Services {
		for i, r := range record.Services[name] {
			if r.Previous == "a" {
				record.Services[name][i].PreviousStartMS = 2 // a had been restarted before the move
			}
		}
	}
	successor := NewTable(record, "successor", now.Add(20*time.Second))
	for range 5 {
		for _, o := range successor.TakeDueOrders(now, listing("a", "b")) {
			if !o.Contains(key) {
				continue
			}
			is.Equal(o.Server, fleet.Incarnation{Name: "a", StartMS: 2})
			is.Equal(o.Action, ActionRelease)
			successor.Apply(OrderResult{Order: o, Outcome: OutcomeNoAnswer, Ended: now})
		}
	}
}

// Guards against keys without an owner until all grants of earlier holders have expired: a
// new holder moves them to the earlier process in an old list, and back once the list is new.
func TestKeysStayWhileTheListIsOlderThanTheRecord(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := newHeldTable(t, now, "a", "b").Record()
	record.Epoch++
	for name := range record.Services {
		for i, r := range record.Services[name] {
			if r.Owner == "a" {
				record.Services[name][i].StartMS = 2
			}
		}
	}
	successor := NewTable(record, "successor", now.Add(20*time.Second))
	is.True(!successor.Plan(now, service, candidates("a", "b"), uniformRates{}))
	for _, o := range successor.TakeDueOrders(now, listing("a", "b")) {
		is.Equal(o.Action, ActionGrant)
		is.True(o.Server == fleet.Incarnation{Name: "a", StartMS: 2} || o.Server == incarnation("b"))
		successor.Apply(OrderResult{Order: o, Outcome: OutcomeUnsent, Ended: now}) // nor does the address in the record answer
	}
	is.True(successor.Plan(now.Add(20*time.Second), service, candidates("a", "b"), uniformRates{})) // the clock of a was set back
}

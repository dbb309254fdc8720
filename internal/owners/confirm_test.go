package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Guards against a grant that takes effect after its keys have moved: the answers to earlier
// grants may have been copies, so that a move that is in the record without an unanswered
// grant must follow an answer of its own.
func TestMoveIsRecordedAsItsConfirmationEnded(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		// unanswered is what the record says of the previous owner's grants.
		unanswered bool
		steps      []step
	}{
		{OutcomeDone, false, []step{{ActionRelease, "a"}, {ActionGrant, "b"}}},
		{OutcomeNoAnswer, true, []step{{ActionGrant, "a"}, {ActionRelease, "a"}, {ActionGrant, "b"}}},
		{OutcomeUnsent, true, []step{{ActionGrant, "a"}, {ActionRelease, "a"}, {ActionGrant, "b"}}},
		{OutcomeRefused, true, []step{{ActionGrant, "a"}, {ActionRelease, "a"}, {ActionGrant, "b"}}},
		{OutcomeProcessEnded, false, []step{{ActionRelease, "a"}, {ActionGrant, "b"}}},
	} {
		t.Run(c.outcome.String(), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			table := newHeldTable(t, now, "a", "b")
			is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
			key := movedKey(t, table)
			owner, held := table.Owner(service, key)
			is.Equal(owner, "a") // it serves on
			is.True(held)
			for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
				is.True(o.AnswerMustBeOwn)
				is.True(table.Apply(OrderResult{Order: o, Outcome: c.outcome, Ended: now}))
			}
			recorded := false
			for _, r := range table.Record().Services[service] {
				if r.From <= key && key <= r.To {
					recorded = r.Previous == "a"
					is.Equal(r.PreviousUnanswered, c.unanswered)
				}
			}
			is.True(recorded)
			table.MarkStored(table.PlanVersion())
			is.Equal(runOrders(t, table, now, key, "a", "b"), c.steps)
		})
	}
}

// Guards against two owners of a key: a record that is written while a move waits for its
// confirmation, and stored after it, must not start the move.
func TestRecordBeforeTheConfirmationStartsNoMove(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	version := table.PlanVersion() // of the record that is being written
	confirmMoves(t, table, now, "a", "b")
	table.MarkStored(version)
	is.Equal(runOrders(t, table, now, key, "a", "b"), nil)
	is.True(table.Dirty())
}

// Guards against two owners of a key when the holder is lost while a move waits for its
// confirmation: its successor must grant the keys to the owner that may hold them.
func TestSuccessorOfAnUnconfirmedMoveGrantsToThePreviousOwner(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
		is.Equal(o.Server.Name, "a") // under way when the holder is lost
	}
	record := table.Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(time.Minute))
	is.Equal(runOrders(t, next, now, key, "a", "b"), []step{{ActionGrant, "a"}})
}

// Guards against a move to a server that has left while the move waited for its confirmation.
func TestPlanChangesWhileAMoveIsUnconfirmed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b", "c")
	is.True(table.Plan(now, service, candidates("a", "b", "c"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	inFlight := table.TakeDueOrders(now, listing("a", "b", "c"))
	table.Plan(now, service, candidates("a", "c"), uniformRates{}) // b leaves
	for _, o := range inFlight {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
	}
	confirmed := 0
	for _, o := range table.TakeDueOrders(now, listing("a", "c")) {
		if o.Contains(key) {
			is.Equal(o.Server.Name, "a")
			is.True(o.AnswerMustBeOwn)
			confirmed++
		}
		table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
	}
	is.Equal(confirmed, 1)
	table.MarkStored(table.PlanVersion())
	steps := runOrders(t, table, now, key, "a", "c")
	is.Equal(steps[0], step{ActionRelease, "a"})
	for _, s := range steps {
		is.True(s.server != "b")
	}
}

// Guards against two owners of a key: the confirmation must not go to a process that has
// replaced the previous owner, which would hold the keys while they are granted to another.
func TestRestartedOwnerIsNotAskedToConfirm(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	restarted := listing("a", "b")
	restarted["a"] = fleet.Incarnation{Name: "a", StartMS: 2}
	for _, o := range table.TakeDueOrders(now, restarted) {
		is.True(!o.Contains(key))
	}
	is.Equal(table.find(service, key).phase, PhasePlanned)
}

// Guards against a tenure that ends by itself: a server that has seen the higher fence of a
// confirmation refuses an earlier renewal that is still on its way, as if there were another
// holder.
func TestConfirmationWaitsForRenewal(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	renewals := table.TakeDueOrders(now, listing("a", "b"))
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	is.Equal(runOrders(t, table, now, key, "a", "b"), nil) // all other orders are answered
	for _, o := range renewals {
		is.True(table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now}))
	}
	is.Equal(runOrders(t, table, now, key, "a", "b"), []step{{ActionGrant, "a"}})
}

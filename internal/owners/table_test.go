package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// uniformRates gives all keys the same rate.
type uniformRates struct{}

func (uniformRates) Rate(int) float64 { return 0.001 }

// ratesByKey gives individual keys a rate.
type ratesByKey map[int]float64

func (r ratesByKey) Rate(key int) float64 { return r[key] }

// incarnationMap holds the listed incarnations by server name.
type incarnationMap map[string]fleet.Incarnation

func (m incarnationMap) Current(_, name string) (fleet.Incarnation, bool) {
	current, ok := m[name]
	return current, ok
}

func incarnation(name string) fleet.Incarnation { return fleet.Incarnation{Name: name, StartMS: 1} }

func candidates(names ...string) []Candidate {
	var out []Candidate
	for _, n := range names {
		out = append(out, Candidate{Incarnation: incarnation(n), Slots: 3, Usable: true, ServiceTime: 0.1})
	}
	return out
}

func listing(names ...string) incarnationMap {
	out := incarnationMap{}
	for _, n := range names {
		out[n] = incarnation(n)
	}
	return out
}

const service = "plots"

// newHeldTable returns a table in which each server holds an equal part of the keys.
func newHeldTable(t *testing.T, now time.Time, names ...string) *Table {
	t.Helper()
	table := NewTable(Record{Epoch: 1}, "holder", now)
	table.Plan(now.Add(-firstPlanDelay), service, candidates(names...), uniformRates{})
	if !table.Plan(now, service, candidates(names...), uniformRates{}) {
		t.Fatal("no first plan")
	}
	table.MarkStored(table.PlanVersion())
	for _, o := range table.TakeDueOrders(now, listing(names...)) {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
	}
	return table
}

// A release must not overtake a renewal that is in flight to the same server. The
// renewal would grant the server keys that another one owns by then.
func TestReleaseWaitsForRenewal(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	renewals := table.TakeDueOrders(now, listing("a", "b"))
	is.Equal(len(renewals), 2)

	hotKeys := ratesByKey{10: 20, 20: 20}
	is.True(table.Plan(now, service, candidates("a", "b"), hotKeys))
	key := movedKey(t, table)
	table.MarkStored(table.PlanVersion())
	for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
		is.True(o.Action != ActionRelease) // the renewal of the whole range is still in flight
		is.True(!o.Contains(key))          // a server that had seen a higher fence would refuse that renewal
	}
	for _, o := range renewals {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
	}
	confirmMoves(t, table, now, "a", "b")
	table.MarkStored(table.PlanVersion())
	released := false
	for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
		released = released || o.Action == ActionRelease
	}
	is.True(released)
}

// Guards against two owners of a key: an answer to the release of its previous owner, or to
// the grant that invalidates an unanswered one, that is the second copy of an earlier answer.
func TestReleaseFollowsAnswersOfItsOwn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
		is.True(!o.AnswerMustBeOwn) // a renewal
		table.Apply(OrderResult{Order: o, Outcome: OutcomeNoAnswer, Ended: now})
	}
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	table.MarkStored(table.PlanVersion())
	var actions []Action
	for range 10 {
		for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
			if o.Contains(key) && o.Server.Name == "a" {
				is.True(o.AnswerMustBeOwn)
				actions = append(actions, o.Action)
			}
			table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
		}
	}
	is.Equal(actions, []Action{ActionGrant, ActionRelease})
}

// Guards against a grant below the fence of a later owner: a successor trusts the record, which
// says that no grant to the previous owner is unanswered, while one that was sent during the
// move takes effect late. The grant that confirms the others is answered before that record.
func TestMoveWithoutUnansweredGrantsSendsNone(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	confirmMoves(t, table, now, "a", "b")
	is.Equal(table.find(service, key).phase, PhasePlanned)
	for _, r := range table.Record().Services[service] {
		is.True(!r.PreviousUnanswered)
	}
	table.MarkStored(table.PlanVersion())
	is.Equal(runOrders(t, table, now, key, "a", "b"), []step{{ActionRelease, "a"}, {ActionGrant, "b"}})
}

// A range must not be granted to another server while its previous owner, which does
// not answer, may still hold it.
func TestUnresponsiveOwnerKeepsKeysUntilGrantExpires(t *testing.T) {
	for name, outcome := range map[string]Outcome{"nothing reaches it": OutcomeUnsent, "it does not answer": OutcomeNoAnswer} {
		t.Run(name, func(t *testing.T) { testUnresponsiveOwner(t, outcome) })
	}
}

func testUnresponsiveOwner(t *testing.T, outcome Outcome) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	now := start
	table := newHeldTable(t, now, "a", "b")
	granted := time.Time{}
	for now.Sub(start) < 10*time.Second && granted.IsZero() {
		now = now.Add(50 * time.Millisecond)
		table.Plan(now, service, candidates("a", "b"), uniformRates{})
		table.MarkStored(table.PlanVersion())
		for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
			result := OrderResult{Order: o, Outcome: OutcomeDone, Ended: now}
			if o.Server.Name == "a" {
				result.Outcome = outcome
			} else if o.Contains(0) {
				granted = now
			}
			table.Apply(result)
		}
	}
	is.True(!granted.IsZero())                   // the keys get a new owner
	is.True(granted.Sub(start) >= GrantDuration) // not before the grant has expired
	if outcome == OutcomeUnsent {
		is.True(granted.Sub(start) < GrantDuration+time.Second) // but soon after it
	} else {
		// Each unanswered order may have renewed the grant: three until the server is
		// suspect, and then the grants that supersede them.
		is.True(granted.Sub(start) < 2*GrantDuration+2*time.Second)
	}
}

// step is the action of an order and the server that it was sent to.
type step struct {
	action Action
	server string
}

// runOrders carries out the due orders, in several rounds, and returns those that contain key.
func runOrders(t *testing.T, table *Table, now time.Time, key int, names ...string) []step {
	t.Helper()
	var steps []step
	fence := int64(0)
	for range 10 {
		for _, o := range table.TakeDueOrders(now, listing(names...)) {
			if o.Contains(key) {
				if o.Action == ActionGrant && o.Fence <= fence {
					t.Errorf("%s is granted key %d with fence %d after an order with fence %d", o.Server.Name, key, o.Fence, fence)
				}
				fence = max(fence, o.Fence)
				steps = append(steps, step{o.Action, o.Server.Name})
			}
			table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
		}
	}
	return steps
}

// confirmMoves answers the grants that precede the record of a move. A move is not in the
// record, and its previous owner serves on, until it has answered.
func confirmMoves(t *testing.T, table *Table, now time.Time, names ...string) {
	t.Helper()
	is := is.New(t)
	for _, r := range table.Record().Services[service] {
		is.Equal(r.Previous, "")
	}
	for _, r := range table.OwnedRanges(service) {
		is.True(r.Held)
	}
	for _, o := range table.TakeDueOrders(now, listing(names...)) {
		is.Equal(o.Action, ActionGrant)
		if o.AnswerMustBeOwn {
			is.Equal(table.find(service, o.From).previous.Server, o.Server)
		}
		table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
	}
}

// movedKey returns a key that the plan moves from a to b.
func movedKey(t *testing.T, table *Table) int {
	t.Helper()
	for _, r := range table.services[service] {
		if r.previous != nil && r.owner.Name == "b" && r.previous.Server.Name == "a" {
			return r.From
		}
	}
	t.Fatal("no key moves from a to b")
	return 0
}

// A successor must not grant a moving range before its previous owner has released
// it, and its fences must increase.
func TestSuccessorReleasesFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	confirmMoves(t, table, now, "a", "b")
	is.True(table.Dirty())
	record := table.Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(time.Minute))
	// The previous owner gets no grant, as it may have released the range already.
	is.Equal(runOrders(t, next, now, key, "a", "b"), []step{{ActionRelease, "a"}, {ActionGrant, "b"}})
}

// An unanswered grant must not take effect after its keys have moved: the server would
// hold them with a fence below the new owner's.
func TestUnansweredGrantIsSupersededBeforeMove(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
		outcome := OutcomeDone
		if o.Server.Name == "a" {
			outcome = OutcomeNoAnswer
		}
		table.Apply(OrderResult{Order: o, Outcome: outcome, Ended: now})
	}
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	table.MarkStored(table.PlanVersion())
	is.Equal(runOrders(t, table, now, key, "a", "b"), []step{{ActionGrant, "a"}, {ActionRelease, "a"}, {ActionGrant, "b"}})
}

// The number of ranges must not grow without bound: adjacent ranges of one owner are
// merged and granted together again once their cooldown is over.
func TestNeighboursOfOneOwnerAreMerged(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	for _, key := range []int{10, 100, 1000} {
		table.split(service, table.find(service, key), Interval{From: key, To: key})
	}
	is.Equal(len(table.OwnedRanges(service)), 8)
	now = now.Add(moveCooldown)
	table.Plan(now, service, candidates("a", "b"), uniformRates{})
	is.Equal(len(table.OwnedRanges(service)), 2)
	for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
		is.True(o.Size() == NumKeys/2) // a single grant covers all keys of the server
	}
}

// A takeover must not send all orders for one server at the same time.
func TestOrdersInFlightPerServerAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	for key := range 20 {
		table.split(service, table.find(service, key*50), Interval{From: key * 50, To: key * 50})
	}
	now = now.Add(renewInterval)
	first := table.TakeDueOrders(now, listing("a", "b"))
	count := 0
	for _, o := range first {
		if o.Server.Name == "a" {
			count++
		}
	}
	is.Equal(count, maxOrdersInFlight)
	for _, o := range first {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
	}
	is.True(len(table.TakeDueOrders(now, listing("a", "b"))) > 0) // the remaining orders follow
}

// An unanswered grant of an earlier holder must not take effect after its successor has
// granted the keys to another server. The successor cannot invalidate it and must wait
// until it expires.
func TestSuccessorWaitsForUnansweredGrantsOfItsPredecessor(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeNoAnswer, Ended: now})
	}
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	record := table.Record()
	record.Epoch++
	inheritedUntil := now.Add(5 * time.Second)
	next := NewTable(record, "successor", inheritedUntil)
	is.Equal(runOrders(t, next, now, key, "a", "b"), []step{{ActionRelease, "a"}})
	is.Equal(runOrders(t, next, inheritedUntil, key, "a", "b"), nil)
	is.Equal(runOrders(t, next, inheritedUntil.Add(time.Second), key, "a", "b"), []step{{ActionGrant, "b"}})
}

// A successor must not move a range before a grant of its own has invalidated the
// orders that its predecessor sent to the owner.
func TestSuccessorSupersedesGrantsBeforeItsOwnMove(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := newHeldTable(t, now, "a", "b").Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(5*time.Second))
	next.Plan(now, service, candidates("b"), uniformRates{}) // a leaves before it receives a grant
	next.MarkStored(next.PlanVersion())
	is.Equal(runOrders(t, next, now, 5, "a", "b"), []step{{ActionGrant, "a"}, {ActionRelease, "a"}, {ActionGrant, "b"}})
}

// An unanswered grant may still take effect after a later grant with the same fence was
// answered. A successor must then still supersede the first one.
func TestAnswerDoesNotSupersedeEarlierGrantWithSameFence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := newHeldTable(t, now, "a", "b").Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(20*time.Second))
	for _, outcome := range []Outcome{OutcomeNoAnswer, OutcomeDone} {
		for _, o := range next.TakeDueOrders(now, listing("a", "b")) {
			next.Apply(OrderResult{Order: o, Outcome: outcome, Ended: now})
		}
		now = now.Add(retryInterval)
	}
	next.Plan(now, service, candidates("b"), uniformRates{}) // a leaves
	next.MarkStored(next.PlanVersion())
	is.Equal(runOrders(t, next, now, 5, "a", "b"), []step{{ActionGrant, "a"}, {ActionRelease, "a"}, {ActionGrant, "b"}})
}

// The record does not say how far a move had progressed, so either the recorded owner or
// the owner before it may hold the range. A successor that moves the range again must
// wait for both.
func TestSuccessorWaitsForBothPossibleHolders(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b", "c")
	is.True(table.Plan(now, service, candidates("a", "b", "c"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	confirmMoves(t, table, now, "a", "b", "c")
	record := table.Record()
	record.Epoch++
	inheritedUntil := now.Add(5 * time.Second)
	next := NewTable(record, "successor", inheritedUntil)
	next.Plan(now, service, candidates("a", "c"), uniformRates{}) // b, the owner in the record, leaves
	next.MarkStored(next.PlanVersion())
	restarted := listing("b", "c")
	restarted["a"] = fleet.Incarnation{Name: "a", StartMS: 2} // a was restarted, which proves nothing about b
	for range 5 {
		for _, o := range next.TakeDueOrders(now, restarted) {
			if o.Contains(key) {
				is.Equal(o.Action, ActionRelease)
			}
			next.Apply(OrderResult{Order: o, Outcome: OutcomeProcessEnded, Ended: now})
		}
	}
	is.Equal(runOrders(t, next, now.Add(time.Second), key, "a", "b", "c"), nil)
	granted := runOrders(t, next, inheritedUntil.Add(time.Second), key, "a", "b", "c")
	is.Equal(len(granted), 1)
	is.Equal(granted[0].action, ActionGrant)
}

// Only the first successor knows both servers that may hold a range; the record names
// one of them. A second successor must not take the end of that one for the end of both.
func TestSecondSuccessorWaitsForBothPossibleHolders(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b", "c")
	is.True(table.Plan(now, service, candidates("a", "b", "c"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	confirmMoves(t, table, now, "a", "b", "c")
	record := table.Record()
	record.Epoch++
	first := NewTable(record, "first", now.Add(5*time.Second))
	first.Plan(now, service, candidates("c"), uniformRates{}) // either a or b may hold the key, and both leave
	record = first.Record()
	record.Epoch++
	inheritedUntil := now.Add(10 * time.Second)
	second := NewTable(record, "second", inheritedUntil)
	for range 5 {
		for _, o := range second.TakeDueOrders(now, listing("c")) {
			if o.Contains(key) {
				is.Equal(o.Action, ActionRelease)
			}
			second.Apply(OrderResult{Order: o, Outcome: OutcomeProcessEnded, Ended: now})
		}
	}
	is.Equal(runOrders(t, second, now.Add(time.Second), key, "c"), nil)
	is.Equal(runOrders(t, second, inheritedUntil.Add(time.Second), key, "c"), []step{{ActionGrant, "c"}})
}

// A grant must not expire in the holder's table before it expires at the server. This
// could happen when a renewal that was in flight while its keys were moved is answered late.
func TestLateAnswerExtendsPreviousGrant(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	renewals := table.TakeDueOrders(now, listing("a", "b"))
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	table.MarkStored(table.PlanVersion())
	answered := now.Add(3 * time.Second) // the holder was not scheduled meanwhile
	for _, o := range renewals {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: answered})
	}
	for at := answered; at.Before(answered.Add(GrantDuration)); at = at.Add(100 * time.Millisecond) {
		for _, o := range table.TakeDueOrders(at, listing("a", "b")) {
			if o.Action == ActionGrant && o.Contains(key) && o.Server.Name == "b" {
				t.Fatalf("key %d granted to another server %v after its owner last answered a renewal", key, at.Sub(answered))
			}
			table.Apply(OrderResult{Order: o, Outcome: OutcomeUnsent, Ended: at})
		}
	}
}

// Orders must carry their creation time, so that they are not sent long after it.
func TestOrdersCarryTheirCreationTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
		is.Equal(o.CreatedAt, now)
	}
}

// If the holder changes again while an inherited range moves, the next successor must
// learn from the record that grants of the first holder may still take effect.
func TestInheritedUnansweredGrantsAreRecorded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := newHeldTable(t, now, "a", "b").Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(5*time.Second))
	next.Plan(now, service, candidates("b"), uniformRates{}) // a leaves before it receives a grant
	recorded := false
	for _, r := range next.Record().Services[service] {
		recorded = recorded || r.Previous == "a" && r.PreviousUnanswered
	}
	is.True(recorded)
}

// The time of return must be known for the keys of an unresponsive owner, and must not
// be given for keys that may be served at any moment.
func TestTimeOfReturnIsTheExpiryOfAnUnresponsiveOwnersGrant(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	is.True(table.Plan(now, service, candidates("b"), uniformRates{})) // a leaves
	table.MarkStored(table.PlanVersion())
	is.True(table.ServedAgainBy(service, 5).IsZero()) // a may answer at any moment
	for _, o := range table.TakeDueOrders(now, listing("b")) {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeNoAnswer, Ended: now.Add(OrderTimeout)})
	}
	table.MarkStored(table.PlanVersion())
	at := table.ServedAgainBy(service, 5)
	is.True(at.After(now.Add(GrantDuration)))
	is.Equal(runOrders(t, table, at.Add(time.Millisecond), 5, "b"), []step{{ActionGrant, "b"}})
	is.True(table.ServedAgainBy(service, 5).IsZero())
}

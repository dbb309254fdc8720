package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// uniformRates is a heat without differences.
type uniformRates struct{}

func (uniformRates) Rate(int) float64 { return 0.001 }

// ratesByKey gives some keys a rate.
type ratesByKey map[int]float64

func (h ratesByKey) Rate(key int) float64 { return h[key] }

// incarnationMap is the listing of lives.
type incarnationMap map[string]fleet.Incarnation

func (l incarnationMap) Current(_, name string) (fleet.Incarnation, bool) {
	life, ok := l[name]
	return life, ok
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

// settledTable returns a table in which the servers hold equal parts.
func settledTable(t *testing.T, now time.Time, names ...string) *Table {
	t.Helper()
	table := NewTable(Record{Epoch: 1}, "holder", now)
	table.Plan(now.Add(-firstPlanDelay), service, candidates(names...), uniformRates{})
	if !table.Plan(now, service, candidates(names...), uniformRates{}) {
		t.Fatal("no first plan")
	}
	table.MarkStored(table.PlanVersion())
	for _, o := range table.Due(now, listing(names...)) {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
	}
	return table
}

// Guards against a release that overtakes a renewal on its way to the same
// server: the renewal would give the server keys that another one has by then.
func TestReleaseWaitsForRenewal(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	renewals := table.Due(now, listing("a", "b"))
	is.Equal(len(renewals), 2)

	hot := ratesByKey{10: 20, 20: 20}
	is.True(table.Plan(now, service, candidates("a", "b"), hot))
	table.MarkStored(table.PlanVersion())
	for _, o := range table.Due(now, listing("a", "b")) {
		is.True(o.Action != ActionRelease) // the renewal of the whole range is still under way
	}
	for _, o := range renewals {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
	}
	released := false
	for _, o := range table.Due(now, listing("a", "b")) {
		released = released || o.Action == ActionRelease
	}
	is.True(released)
}

// Guards against a range that is given to another server while the last owner,
// which does not answer, may still hold it.
func TestUnresponsiveOwnerKeepsKeysUntilGrantExpires(t *testing.T) {
	for name, outcome := range map[string]Outcome{"nothing reaches it": OutcomeUnsent, "it does not answer": OutcomeNoAnswer} {
		t.Run(name, func(t *testing.T) { testUnresponsiveOwner(t, outcome) })
	}
}

func testUnresponsiveOwner(t *testing.T, outcome Outcome) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	now := start
	table := settledTable(t, now, "a", "b")
	granted := time.Time{}
	for now.Sub(start) < 10*time.Second && granted.IsZero() {
		now = now.Add(50 * time.Millisecond)
		table.Plan(now, service, candidates("a", "b"), uniformRates{})
		table.MarkStored(table.PlanVersion())
		for _, o := range table.Due(now, listing("a", "b")) {
			reply := OrderResult{Order: o, Outcome: OutcomeDone, Ended: now}
			if o.Server.Name == "a" {
				reply.Outcome = outcome
			} else if o.Contains(0) {
				granted = now
			}
			table.Apply(reply)
		}
	}
	is.True(!granted.IsZero())                   // the keys find a new owner
	is.True(granted.Sub(start) >= GrantDuration) // not before the hold has ended
	if outcome == OutcomeUnsent {
		is.True(granted.Sub(start) < GrantDuration+time.Second) // and soon after it
	} else {
		// Each order that is not answered may have renewed the hold: three until the
		// server is suspect, and those that void them.
		is.True(granted.Sub(start) < 2*GrantDuration+2*time.Second)
	}
}

// step is what an order asked of a server.
type step struct {
	action Action
	server string
}

// runOrders carries out orders until none is due and returns those on key.
func runOrders(t *testing.T, table *Table, now time.Time, key int, names ...string) []step {
	t.Helper()
	var steps []step
	fence := int64(0)
	for range 10 {
		for _, o := range table.Due(now, listing(names...)) {
			if o.Contains(key) {
				if o.Action == ActionGrant && o.Fence <= fence {
					t.Errorf("%s gets key %d under fence %d after %d", o.Server.Name, key, o.Fence, fence)
				}
				fence = max(fence, o.Fence)
				steps = append(steps, step{o.Action, o.Server.Name})
			}
			table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
		}
	}
	return steps
}

// movedKey returns a key that the plan has given from a to b.
func movedKey(t *testing.T, table *Table) int {
	t.Helper()
	for _, s := range table.services[service] {
		if s.previous != nil && s.owner.Name == "b" && s.previous.Server.Name == "a" {
			return s.From
		}
	}
	t.Fatal("no key moves")
	return 0
}

// Guards against a successor that grants a moving range before the earlier
// owner has given it up, and against fences that do not rise.
func TestSuccessorReleasesFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	is.True(table.Dirty())
	record := table.Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(time.Minute))
	// The earlier owner gets no grant: it may have given the range up already.
	is.Equal(runOrders(t, next, now, key, "a", "b"), []step{{ActionRelease, "a"}, {ActionGrant, "b"}})
}

// Guards against a grant without an answer that takes effect after its keys
// have moved on: the server then has them under a fence below the new owner's.
func TestUnansweredGrantIsSupersededBeforeMove(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	for _, o := range table.Due(now, listing("a", "b")) {
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

// Guards against ranges that only ever become more: neighbours of one owner are
// granted together again once they have rested.
func TestNeighboursOfOneOwnerAreMerged(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	for _, key := range []int{10, 100, 1000} {
		table.split(service, table.find(service, key), Interval{From: key, To: key})
	}
	is.Equal(len(table.OwnedRanges(service)), 8)
	now = now.Add(moveCooldown)
	table.Plan(now, service, candidates("a", "b"), uniformRates{})
	is.Equal(len(table.OwnedRanges(service)), 2)
	for _, o := range table.Due(now, listing("a", "b")) {
		is.True(o.Size() == NumKeys/2) // one grant for all keys of the server
	}
}

// Guards against a flood of orders to one server after a takeover.
func TestOrdersInFlightPerServerAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	for key := range 20 {
		table.split(service, table.find(service, key*50), Interval{From: key * 50, To: key * 50})
	}
	now = now.Add(renewInterval)
	first := table.Due(now, listing("a", "b"))
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
	is.True(len(table.Due(now, listing("a", "b"))) > 0) // the others follow
}

// Guards against a grant of an earlier holder without an answer that takes
// effect while its successor has given the keys to another server: the
// successor cannot make it void, and must let it run out.
func TestSuccessorWaitsForUnansweredGrantsOfItsPredecessor(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	for _, o := range table.Due(now, listing("a", "b")) {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeNoAnswer, Ended: now})
	}
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	record := table.Record()
	record.Epoch++
	foreign := now.Add(5 * time.Second)
	next := NewTable(record, "successor", foreign)
	is.Equal(runOrders(t, next, now, key, "a", "b"), []step{{ActionRelease, "a"}})
	is.Equal(runOrders(t, next, foreign, key, "a", "b"), nil)
	is.Equal(runOrders(t, next, foreign.Add(time.Second), key, "a", "b"), []step{{ActionGrant, "b"}})
}

// Guards against a successor that moves a range before its own first grant has
// made void what its predecessor had sent to the owner.
func TestSuccessorSupersedesGrantsBeforeItsOwnMove(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := settledTable(t, now, "a", "b").Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(5*time.Second))
	next.Plan(now, service, candidates("b"), uniformRates{}) // a leaves before it was granted anything
	next.MarkStored(next.PlanVersion())
	is.Equal(runOrders(t, next, now, 5, "a", "b"), []step{{ActionGrant, "a"}, {ActionRelease, "a"}, {ActionGrant, "b"}})
}

// Guards against a successor that forgets its own grant without an answer once
// a later one under the same fence was answered: the first may still take effect.
func TestAnswerDoesNotSupersedeEarlierGrantWithSameFence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := settledTable(t, now, "a", "b").Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(20*time.Second))
	for _, outcome := range []Outcome{OutcomeNoAnswer, OutcomeDone} {
		for _, o := range next.Due(now, listing("a", "b")) {
			next.Apply(OrderResult{Order: o, Outcome: outcome, Ended: now})
		}
		now = now.Add(retryInterval)
	}
	next.Plan(now, service, candidates("b"), uniformRates{}) // a leaves
	next.MarkStored(next.PlanVersion())
	is.Equal(runOrders(t, next, now, 5, "a", "b"), []step{{ActionGrant, "a"}, {ActionRelease, "a"}, {ActionGrant, "b"}})
}

// Guards against a successor that moves a range on while its recorded owner may
// hold it as well as the owner before: the record does not say how far the
// move had come.
func TestSuccessorWaitsForBothPossibleHolders(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b", "c")
	is.True(table.Plan(now, service, candidates("a", "b", "c"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	record := table.Record()
	record.Epoch++
	foreign := now.Add(5 * time.Second)
	next := NewTable(record, "successor", foreign)
	next.Plan(now, service, candidates("a", "c"), uniformRates{}) // b, the recorded owner, leaves
	next.MarkStored(next.PlanVersion())
	reborn := listing("b", "c")
	reborn["a"] = fleet.Incarnation{Name: "a", StartMS: 2} // a has started again, which proves nothing about b
	for range 5 {
		for _, o := range next.Due(now, reborn) {
			if o.Contains(key) {
				is.Equal(o.Action, ActionRelease)
			}
			next.Apply(OrderResult{Order: o, Outcome: OutcomeProcessEnded, Ended: now})
		}
	}
	is.Equal(runOrders(t, next, now.Add(time.Second), key, "a", "b", "c"), nil)
	granted := runOrders(t, next, foreign.Add(time.Second), key, "a", "b", "c")
	is.Equal(len(granted), 1)
	is.Equal(granted[0].action, ActionGrant)
}

// Guards against a second successor that takes the end of the one last owner in
// the record for the end of the other, which only its predecessor knew of.
func TestSecondSuccessorWaitsForBothPossibleHolders(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b", "c")
	is.True(table.Plan(now, service, candidates("a", "b", "c"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	record := table.Record()
	record.Epoch++
	first := NewTable(record, "first", now.Add(5*time.Second))
	first.Plan(now, service, candidates("c"), uniformRates{}) // a and b may both hold the key, and both leave
	record = first.Record()
	record.Epoch++
	foreign := now.Add(10 * time.Second)
	second := NewTable(record, "second", foreign)
	for range 5 {
		for _, o := range second.Due(now, listing("c")) {
			if o.Contains(key) {
				is.Equal(o.Action, ActionRelease)
			}
			second.Apply(OrderResult{Order: o, Outcome: OutcomeProcessEnded, Ended: now})
		}
	}
	is.Equal(runOrders(t, second, now.Add(time.Second), key, "c"), nil)
	is.Equal(runOrders(t, second, foreign.Add(time.Second), key, "c"), []step{{ActionGrant, "c"}})
}

// Guards against a hold that ends in the holder's books before it ends at the
// server: a renewal that was under way when its keys were moved is answered late.
func TestLateAnswerExtendsPreviousGrant(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	renewals := table.Due(now, listing("a", "b"))
	is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
	key := movedKey(t, table)
	table.MarkStored(table.PlanVersion())
	answered := now.Add(3 * time.Second) // the holder had no processor time
	for _, o := range renewals {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: answered})
	}
	for at := answered; at.Before(answered.Add(GrantDuration)); at = at.Add(100 * time.Millisecond) {
		for _, o := range table.Due(at, listing("a", "b")) {
			if o.Action == ActionGrant && o.Contains(key) && o.Server.Name == "b" {
				t.Fatalf("key %d granted %v after the last answer of its owner", key, at.Sub(answered))
			}
			table.Apply(OrderResult{Order: o, Outcome: OutcomeUnsent, Ended: at})
		}
	}
}

// Guards against an order that is sent long after it was made.
func TestOrdersCarryTheirCreationTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	now = now.Add(renewInterval)
	for _, o := range table.Due(now, listing("a", "b")) {
		is.Equal(o.CreatedAt, now)
	}
}

// Guards against a second change of holder while an inherited range moves: the
// next successor must know that the first holder's grants may still take effect.
func TestInheritedUnansweredGrantsAreRecorded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := settledTable(t, now, "a", "b").Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(5*time.Second))
	next.Plan(now, service, candidates("b"), uniformRates{}) // a leaves before it was granted anything
	told := false
	for _, s := range next.Record().Services[service] {
		told = told || s.Previous == "a" && s.PreviousUnanswered
	}
	is.True(told)
}

// Guards against a time of return for keys that may be served at any moment, and
// against none for those of a silent owner.
func TestServedAtIsTheExpiryOfAnUnresponsiveOwnersGrant(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	is.True(table.Plan(now, service, candidates("b"), uniformRates{})) // a leaves
	table.MarkStored(table.PlanVersion())
	is.True(table.ServedAt(service, 5).IsZero()) // a may answer at once
	for _, o := range table.Due(now, listing("b")) {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeNoAnswer, Ended: now.Add(OrderTimeout)})
	}
	at := table.ServedAt(service, 5)
	is.True(at.After(now.Add(GrantDuration)))
	is.Equal(runOrders(t, table, at.Add(time.Millisecond), 5, "b"), []step{{ActionGrant, "b"}})
	is.True(table.ServedAt(service, 5).IsZero())
}

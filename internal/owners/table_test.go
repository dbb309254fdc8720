package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// flat is a heat without differences.
type flat struct{}

func (flat) Rate(int) float64 { return 0.001 }

// heatOf gives some keys a rate.
type heatOf map[int]float64

func (h heatOf) Rate(key int) float64 { return h[key] }

// listed is the listing of lives.
type listed map[string]fleet.Life

func (l listed) Current(_, name string) (fleet.Life, bool) {
	life, ok := l[name]
	return life, ok
}

func life(name string) fleet.Life { return fleet.Life{Name: name, Born: 1} }

func candidates(names ...string) []Candidate {
	var out []Candidate
	for _, n := range names {
		out = append(out, Candidate{Life: life(n), Slots: 3, Usable: true, Took: 0.1})
	}
	return out
}

func lives(names ...string) listed {
	out := listed{}
	for _, n := range names {
		out[n] = life(n)
	}
	return out
}

const service = "plots"

// settledTable returns a table in which the servers hold equal parts.
func settledTable(t *testing.T, now time.Time, names ...string) *Table {
	t.Helper()
	table := NewTable(Record{Epoch: 1}, "holder", now)
	table.Plan(now.Add(-settleFor), service, candidates(names...), flat{})
	if !table.Plan(now, service, candidates(names...), flat{}) {
		t.Fatal("no first plan")
	}
	table.Stored(table.Planned())
	for _, o := range table.Due(now, lives(names...)) {
		table.Apply(Reply{Order: o, Outcome: Done, Ended: now})
	}
	return table
}

// Guards against a release that overtakes a renewal on its way to the same
// server: the renewal would give the server keys that another one has by then.
func TestReleaseWaitsForRenewal(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	now = now.Add(renewEvery)
	renewals := table.Due(now, lives("a", "b"))
	is.Equal(len(renewals), 2)

	hot := heatOf{10: 20, 20: 20}
	is.True(table.Plan(now, service, candidates("a", "b"), hot))
	table.Stored(table.Planned())
	for _, o := range table.Due(now, lives("a", "b")) {
		is.True(o.Action != ActionRelease) // the renewal of the whole range is still under way
	}
	for _, o := range renewals {
		table.Apply(Reply{Order: o, Outcome: Done, Ended: now})
	}
	released := false
	for _, o := range table.Due(now, lives("a", "b")) {
		released = released || o.Action == ActionRelease
	}
	is.True(released)
}

// Guards against a range that is given to another server while the last owner,
// which does not answer, may still hold it.
func TestSilentOwnerKeepsItsKeysUntilTheHoldEnds(t *testing.T) {
	for name, outcome := range map[string]Outcome{"nothing reaches it": Unsent, "it does not answer": Silent} {
		t.Run(name, func(t *testing.T) { silentOwner(t, outcome) })
	}
}

func silentOwner(t *testing.T, outcome Outcome) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	now := start
	table := settledTable(t, now, "a", "b")
	granted := time.Time{}
	for now.Sub(start) < 10*time.Second && granted.IsZero() {
		now = now.Add(50 * time.Millisecond)
		table.Plan(now, service, candidates("a", "b"), flat{})
		table.Stored(table.Planned())
		for _, o := range table.Due(now, lives("a", "b")) {
			reply := Reply{Order: o, Outcome: Done, Ended: now}
			if o.Life.Name == "a" {
				reply.Outcome = outcome
			} else if o.Contains(0) {
				granted = now
			}
			table.Apply(reply)
		}
	}
	is.True(!granted.IsZero())             // the keys find a new owner
	is.True(granted.Sub(start) >= HoldFor) // not before the hold has ended
	if outcome == Unsent {
		is.True(granted.Sub(start) < HoldFor+time.Second) // and soon after it
	} else {
		// Each order that is not answered may have renewed the hold: three until the
		// server is suspect, and those that void them.
		is.True(granted.Sub(start) < 2*HoldFor+2*time.Second)
	}
}

// step is what an order asked of a server.
type step struct {
	action Action
	server string
}

// stepsFor carries out orders until none is due and returns those on key.
func stepsFor(t *testing.T, table *Table, now time.Time, key int, names ...string) []step {
	t.Helper()
	var steps []step
	fence := int64(0)
	for range 10 {
		for _, o := range table.Due(now, lives(names...)) {
			if o.Contains(key) {
				if o.Action == ActionGrant && o.Fence <= fence {
					t.Errorf("%s gets key %d under fence %d after %d", o.Life.Name, key, o.Fence, fence)
				}
				fence = max(fence, o.Fence)
				steps = append(steps, step{o.Action, o.Life.Name})
			}
			table.Apply(Reply{Order: o, Outcome: Done, Ended: now})
		}
	}
	return steps
}

// movedKey returns a key that the plan has given from a to b.
func movedKey(t *testing.T, table *Table) int {
	t.Helper()
	for _, s := range table.services[service] {
		if s.previous != nil && s.owner.Name == "b" && s.previous.Life.Name == "a" {
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
	is.True(table.Plan(now, service, candidates("a", "b"), heatOf{10: 20, 20: 20}))
	key := movedKey(t, table)
	is.True(table.Dirty())
	record := table.Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(time.Minute))
	// The earlier owner gets no grant: it may have given the range up already.
	is.Equal(stepsFor(t, next, now, key, "a", "b"), []step{{ActionRelease, "a"}, {ActionGrant, "b"}})
}

// Guards against a grant without an answer that takes effect after its keys
// have moved on: the server then has them under a fence below the new owner's.
func TestLateGrantIsVoidedBeforeAMove(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	now = now.Add(renewEvery)
	for _, o := range table.Due(now, lives("a", "b")) {
		outcome := Done
		if o.Life.Name == "a" {
			outcome = Silent
		}
		table.Apply(Reply{Order: o, Outcome: outcome, Ended: now})
	}
	is.True(table.Plan(now, service, candidates("a", "b"), heatOf{10: 20, 20: 20}))
	key := movedKey(t, table)
	table.Stored(table.Planned())
	is.Equal(stepsFor(t, table, now, key, "a", "b"), []step{{ActionGrant, "a"}, {ActionRelease, "a"}, {ActionGrant, "b"}})
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
	is.Equal(len(table.Spans(service)), 8)
	now = now.Add(restFor)
	table.Plan(now, service, candidates("a", "b"), flat{})
	is.Equal(len(table.Spans(service)), 2)
	for _, o := range table.Due(now, lives("a", "b")) {
		is.True(o.Size() == Keys/2) // one grant for all keys of the server
	}
}

// Guards against a flood of orders to one server after a takeover.
func TestOrdersOfOneServerAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	for key := range 20 {
		table.split(service, table.find(service, key*50), Interval{From: key * 50, To: key * 50})
	}
	now = now.Add(renewEvery)
	first := table.Due(now, lives("a", "b"))
	count := 0
	for _, o := range first {
		if o.Life.Name == "a" {
			count++
		}
	}
	is.Equal(count, ordersAtOnce)
	for _, o := range first {
		table.Apply(Reply{Order: o, Outcome: Done, Ended: now})
	}
	is.True(len(table.Due(now, lives("a", "b"))) > 0) // the others follow
}

// Guards against a grant of an earlier holder without an answer that takes
// effect while its successor has given the keys to another server: the
// successor cannot make it void, and must let it run out.
func TestSuccessorWaitsForLateGrantsOfItsPredecessor(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	now = now.Add(renewEvery)
	for _, o := range table.Due(now, lives("a", "b")) {
		table.Apply(Reply{Order: o, Outcome: Silent, Ended: now})
	}
	is.True(table.Plan(now, service, candidates("a", "b"), heatOf{10: 20, 20: 20}))
	key := movedKey(t, table)
	record := table.Record()
	record.Epoch++
	foreign := now.Add(5 * time.Second)
	next := NewTable(record, "successor", foreign)
	is.Equal(stepsFor(t, next, now, key, "a", "b"), []step{{ActionRelease, "a"}})
	is.Equal(stepsFor(t, next, foreign, key, "a", "b"), nil)
	is.Equal(stepsFor(t, next, foreign.Add(time.Second), key, "a", "b"), []step{{ActionGrant, "b"}})
}

// Guards against a successor that moves a range before its own first grant has
// made void what its predecessor had sent to the owner.
func TestSuccessorVoidsBeforeItsOwnMove(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := settledTable(t, now, "a", "b").Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(5*time.Second))
	next.Plan(now, service, candidates("b"), flat{}) // a leaves before it was granted anything
	next.Stored(next.Planned())
	is.Equal(stepsFor(t, next, now, 5, "a", "b"), []step{{ActionGrant, "a"}, {ActionRelease, "a"}, {ActionGrant, "b"}})
}

// Guards against a successor that forgets its own grant without an answer once
// a later one under the same fence was answered: the first may still take effect.
func TestAnAnswerDoesNotVoidAnEarlierGrantUnderItsFence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := settledTable(t, now, "a", "b").Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(20*time.Second))
	for _, outcome := range []Outcome{Silent, Done} {
		for _, o := range next.Due(now, lives("a", "b")) {
			next.Apply(Reply{Order: o, Outcome: outcome, Ended: now})
		}
		now = now.Add(retryEvery)
	}
	next.Plan(now, service, candidates("b"), flat{}) // a leaves
	next.Stored(next.Planned())
	is.Equal(stepsFor(t, next, now, 5, "a", "b"), []step{{ActionGrant, "a"}, {ActionRelease, "a"}, {ActionGrant, "b"}})
}

// Guards against a successor that moves a range on while its recorded owner may
// hold it as well as the owner before: the record does not say how far the
// move had come.
func TestSuccessorWaitsForBothPossibleHolders(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b", "c")
	is.True(table.Plan(now, service, candidates("a", "b", "c"), heatOf{10: 20, 20: 20}))
	key := movedKey(t, table)
	record := table.Record()
	record.Epoch++
	foreign := now.Add(5 * time.Second)
	next := NewTable(record, "successor", foreign)
	next.Plan(now, service, candidates("a", "c"), flat{}) // b, the recorded owner, leaves
	next.Stored(next.Planned())
	reborn := lives("b", "c")
	reborn["a"] = fleet.Life{Name: "a", Born: 2} // a has started again, which proves nothing about b
	for range 5 {
		for _, o := range next.Due(now, reborn) {
			if o.Contains(key) {
				is.Equal(o.Action, ActionRelease)
			}
			next.Apply(Reply{Order: o, Outcome: Gone, Ended: now})
		}
	}
	is.Equal(stepsFor(t, next, now.Add(time.Second), key, "a", "b", "c"), nil)
	granted := stepsFor(t, next, foreign.Add(time.Second), key, "a", "b", "c")
	is.Equal(len(granted), 1)
	is.Equal(granted[0].action, ActionGrant)
}

// Guards against a second successor that takes the end of the one last owner in
// the record for the end of the other, which only its predecessor knew of.
func TestSecondSuccessorWaitsForBothPossibleHolders(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b", "c")
	is.True(table.Plan(now, service, candidates("a", "b", "c"), heatOf{10: 20, 20: 20}))
	key := movedKey(t, table)
	record := table.Record()
	record.Epoch++
	first := NewTable(record, "first", now.Add(5*time.Second))
	first.Plan(now, service, candidates("c"), flat{}) // a and b may both hold the key, and both leave
	record = first.Record()
	record.Epoch++
	foreign := now.Add(10 * time.Second)
	second := NewTable(record, "second", foreign)
	for range 5 {
		for _, o := range second.Due(now, lives("c")) {
			if o.Contains(key) {
				is.Equal(o.Action, ActionRelease)
			}
			second.Apply(Reply{Order: o, Outcome: Gone, Ended: now})
		}
	}
	is.Equal(stepsFor(t, second, now.Add(time.Second), key, "c"), nil)
	is.Equal(stepsFor(t, second, foreign.Add(time.Second), key, "c"), []step{{ActionGrant, "c"}})
}

// Guards against a hold that ends in the holder's books before it ends at the
// server: a renewal that was under way when its keys were moved is answered late.
func TestLateAnswerExtendsTheLastHold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	now = now.Add(renewEvery)
	renewals := table.Due(now, lives("a", "b"))
	is.True(table.Plan(now, service, candidates("a", "b"), heatOf{10: 20, 20: 20}))
	key := movedKey(t, table)
	table.Stored(table.Planned())
	answered := now.Add(3 * time.Second) // the holder had no processor time
	for _, o := range renewals {
		table.Apply(Reply{Order: o, Outcome: Done, Ended: answered})
	}
	for at := answered; at.Before(answered.Add(HoldFor)); at = at.Add(100 * time.Millisecond) {
		for _, o := range table.Due(at, lives("a", "b")) {
			if o.Action == ActionGrant && o.Contains(key) && o.Life.Name == "b" {
				t.Fatalf("key %d granted %v after the last answer of its owner", key, at.Sub(answered))
			}
			table.Apply(Reply{Order: o, Outcome: Unsent, Ended: at})
		}
	}
}

// Guards against an order that is sent long after it was made.
func TestOrdersSayWhenTheyWereMade(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	now = now.Add(renewEvery)
	for _, o := range table.Due(now, lives("a", "b")) {
		is.Equal(o.Due, now)
	}
}

// Guards against a second change of holder while an inherited range moves: the
// next successor must know that the first holder's grants may still take effect.
func TestInheritedLateGrantsAreToldOn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := settledTable(t, now, "a", "b").Record()
	record.Epoch++
	next := NewTable(record, "successor", now.Add(5*time.Second))
	next.Plan(now, service, candidates("b"), flat{}) // a leaves before it was granted anything
	told := false
	for _, s := range next.Record().Services[service] {
		told = told || s.Previous == "a" && s.PreviousLate
	}
	is.True(told)
}

// Guards against a time of return for keys that may be served at any moment, and
// against none for those of a silent owner.
func TestServedAtIsTheEndOfASilentHold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := settledTable(t, now, "a", "b")
	is.True(table.Plan(now, service, candidates("b"), flat{})) // a leaves
	table.Stored(table.Planned())
	is.True(table.ServedAgainBy(service, 5).IsZero()) // a may answer at once
	for _, o := range table.Due(now, lives("b")) {
		table.Apply(Reply{Order: o, Outcome: Silent, Ended: now.Add(OrderTimeout)})
	}
	at := table.ServedAgainBy(service, 5)
	is.True(at.After(now.Add(HoldFor)))
	is.Equal(stepsFor(t, table, at.Add(time.Millisecond), 5, "b"), []step{{ActionGrant, "b"}})
	is.True(table.ServedAgainBy(service, 5).IsZero())
}

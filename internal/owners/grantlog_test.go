package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// carryOut gives all due orders an outcome by server, OutcomeDone if none is named.
func carryOut(table *Table, now time.Time, outcomes map[string]Outcome, names ...string) {
	for _, o := range table.TakeDueOrders(now, listing(names...)) {
		table.Apply(OrderResult{Order: o, Outcome: outcomes[o.Server.Name], Ended: now})
	}
}

// Guards against a log that grows with each renewal or split, and against one that lacks the
// first grant under a fence.
func TestGrantsAreReportedOncePerFence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	first := table.TakeGrantChanges()
	is.Equal(len(first), 2)
	for _, g := range first {
		is.Equal(g.End, GrantGoesOn)
		is.Equal(g.SentAt, now)
		is.Equal(g.ValidUntil, grantExpiry(now, GrantDuration))
		is.Equal(g.Server, incarnation(g.Server.Name))
		is.Equal(g.Fence>>fenceBits, int64(1))
	}
	for _, key := range []int{10, 100} {
		table.split(service, table.find(service, key), Interval{From: key, To: key})
	}
	for range 20 {
		now = now.Add(renewInterval)
		carryOut(table, now, nil, "a", "b")
	}
	is.Equal(len(table.TakeGrantChanges()), 0)
	now = now.Add(moveCooldown)
	table.Plan(now, service, candidates("a", "b"), uniformRates{}) // merges the ranges, which raises the fence
	carryOut(table, now, nil, "a", "b")
	merged := table.TakeGrantChanges()
	is.Equal(len(merged), 1)
	is.Equal(merged[0].Interval, Interval{0, NumKeys/2 - 1})
	is.True(merged[0].Fence > first[0].Fence)
}

// Guards against a grant without an answer that is in no line, although its server may hold
// the keys, and against one line for each repetition.
func TestGrantWithoutAnAnswerIsReported(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := NewTable(Record{Epoch: 1, Services: map[string][]RecordRange{service: {{From: 0, To: NumKeys - 1, Owner: "a", StartMS: 1}}}}, "holder", now)
	var outcomes []Outcome
	for _, outcome := range []Outcome{OutcomeUnsent, OutcomeRefused, OutcomeFenced, OutcomeNoAnswer, OutcomeNoAnswer, OutcomeDone, OutcomeNoAnswer, OutcomeDone} {
		now = now.Add(renewInterval + retryInterval)
		for _, o := range table.TakeDueOrders(now, listing("a")) {
			table.Apply(OrderResult{Order: o, Outcome: outcome, Ended: now.Add(OrderTimeout)})
		}
		for _, g := range table.TakeGrantChanges() {
			is.Equal(g.Took, OrderTimeout)
			outcomes = append(outcomes, g.Outcome)
		}
	}
	is.Equal(outcomes, []Outcome{OutcomeNoAnswer, OutcomeDone})
}

// Guards against a move of which the log doesn't tell how and until when the grant before it
// ended.
func TestEndOfAGrantIsReported(t *testing.T) {
	for name, tc := range map[string]struct {
		ofA Outcome
		end GrantEnd
	}{
		"released": {OutcomeDone, GrantReleased},
		"expired":  {OutcomeNoAnswer, GrantExpired},
		"gone":     {OutcomeProcessEnded, GrantServerEnded},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			table := newHeldTable(t, now, "a", "b")
			table.TakeGrantChanges()
			is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
			key := movedKey(t, table)
			var ended []GrantChange
			var granted time.Time
			for range 300 {
				now = now.Add(50 * time.Millisecond)
				table.MarkStored(table.PlanVersion())
				carryOut(table, now, map[string]Outcome{"a": tc.ofA}, "a", "b")
				for _, g := range table.TakeGrantChanges() {
					if g.Contains(key) && g.End != GrantGoesOn {
						ended = append(ended, g)
					}
					if g.Contains(key) && g.Server.Name == "b" {
						granted = now
					}
				}
			}
			is.Equal(len(ended), 1)
			is.Equal(ended[0].End, tc.end)
			is.Equal(ended[0].Server, incarnation("a"))
			is.Equal(ended[0].SentAt.IsZero(), false)
			is.True(!ended[0].EndedAt.IsZero() && !granted.Before(ended[0].EndedAt)) // the next grant follows
			is.Equal(tc.end == GrantExpired, granted.After(ended[0].ValidUntil))
		})
	}
}

// Guards against a successor of which the log doesn't tell until when it waited for a grant of
// an earlier holder.
func TestEndOfAnInheritedGrantIsReported(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	inheritedUntil := now.Add(2 * time.Second)
	table := NewTable(Record{Epoch: 2, Services: map[string][]RecordRange{service: {
		{From: 0, To: NumKeys - 1, Owner: "b", StartMS: 1, Previous: "a", PreviousStartMS: 1, PreviousFence: 7, PreviousUnanswered: true},
	}}}, "successor", inheritedUntil)
	var changes []GrantChange
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		carryOut(table, now, nil, "a", "b")
		changes = append(changes, table.TakeGrantChanges()...)
	}
	is.Equal(len(changes), 2)
	is.Equal(changes[0].End, GrantExpired)
	is.Equal(changes[0].Fence, int64(7))
	is.True(changes[0].SentAt.IsZero())
	is.Equal(changes[0].ValidUntil, inheritedUntil)
	is.Equal(changes[1].Server, incarnation("b"))
	is.True(changes[1].SentAt.After(inheritedUntil))
}

// Guards against a tenure that ends without telling which of its grants remain valid, also
// those whose answer it doesn't wait for, and against waits for earlier holders among them.
func TestGrantsLeftBehindAreReported(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	record := Record{Epoch: 2, Services: map[string][]RecordRange{service: {
		{From: 0, To: 9, Owner: "a", StartMS: 1}, {From: 10, To: 19, Owner: "b", StartMS: 1}, {From: 20, To: NumKeys - 1, Owner: "c", StartMS: 1},
	}}}
	table := NewTable(record, "holder", now.Add(time.Hour))
	sentAt := now
	for _, o := range table.TakeDueOrders(now, listing("a", "b", "c")) {
		switch o.Server.Name {
		case "a":
			table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
		case "c":
			table.Apply(OrderResult{Order: o, Outcome: OutcomeRefused, Ended: now})
		}
	}
	now = now.Add(100 * time.Millisecond)
	until := table.EndTenure(now)
	is.Equal(until, grantExpiry(sentAt.Add(OrderTimeout), GrantDuration)) // the order to b may still take effect
	left := map[string]time.Time{}
	var outcomeOfB []Outcome
	for _, g := range table.TakeGrantChanges() {
		switch {
		case g.End == GrantTenureEnded:
			left[g.Server.Name] = g.ValidUntil
		case g.Server.Name == "b":
			outcomeOfB = append(outcomeOfB, g.Outcome)
		}
	}
	is.Equal(left, map[string]time.Time{"a": grantExpiry(sentAt, GrantDuration), "b": until})
	is.Equal(outcomeOfB, []Outcome{OutcomeNoAnswer})
	is.True(NewTable(record, "holder", now.Add(time.Hour)).EndTenure(now).IsZero())
}

package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an overloaded or cut-off holder that takes all servers for lost: it
// moved every range, and its successors waited for the grants of the previous owners.
func TestHolderThatReachesFewServersMovesNoKeys(t *testing.T) {
	cases := []struct {
		name       string
		unanswered int // servers that answer no order, of eight
		moves      bool
	}{
		{"one server", 1, true},
		{"half of the servers", 4, true},
		{"most servers", 5, false},
		{"all servers", 8, false},
	}
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			table := newHeldTable(t, now, names...)
			moved := 0
			for range 40 {
				now = now.Add(100 * time.Millisecond)
				for _, o := range table.TakeDueOrders(now, listing(names...)) {
					outcome := OutcomeDone
					if o.Server.Name <= names[tc.unanswered-1] {
						outcome = OutcomeNoAnswer
					}
					table.Apply(OrderResult{Order: o, Outcome: outcome, Ended: now})
				}
				table.Plan(now, service, candidates(names...), uniformRates{})
				moved += len(table.TakeMoves())
				table.MarkStored(table.PlanVersion())
			}
			is.Equal(moved > 0, tc.moves)
		})
	}
}

// Guards against keys that stay with ended processes because most servers do not answer.
func TestEndOfAProcessCountsWhileMostServersDoNotAnswer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	names := []string{"a", "b", "c", "d"}
	table := newHeldTable(t, now, names...)
	now = now.Add(renewInterval)
	for _, o := range table.TakeDueOrders(now, listing(names...)) {
		outcome := OutcomeNoAnswer
		if o.Server.Name == "a" {
			outcome = OutcomeProcessEnded
		}
		table.Apply(OrderResult{Order: o, Outcome: outcome, Ended: now})
	}
	table.Plan(now, service, candidates(names...), uniformRates{})
	moves := table.TakeMoves()
	is.True(len(moves) > 0)
	for _, m := range moves {
		is.Equal(m.From, "a")
	}
}

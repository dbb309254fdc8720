package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a holder that takes servers for unresponsive, and moves their keys, since
// it was itself too slow to send them orders in time.
func TestOrdersThatWereNotSentInTimeSayNothingAboutTheServer(t *testing.T) {
	for _, expired := range []bool{true, false} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		table := newHeldTable(t, now, "a", "b", "c")
		for range suspectThreshold {
			now = now.Add(renewInterval)
			for _, o := range table.TakeDueOrders(now, listing("a", "b", "c")) {
				result := OrderResult{Order: o, Outcome: OutcomeDone, Ended: now}
				if o.Server.Name == "a" {
					result.Outcome, result.Expired = OutcomeUnsent, expired
				}
				table.Apply(result)
			}
		}
		suspects := 1
		if expired {
			suspects = 0
		}
		is.Equal(len(table.suspects), suspects)
	}
}

// Guards against keys without an owner until the grants of earlier holders have expired: a
// busy holder sent the grants that end an unanswered one too late, and took them for unanswered.
func TestSupersedingGrantsThatWereNotSentInTimeAreSentAgain(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	table, key := newMoveOffA(t, start)
	for _, r := range table.services[service] {
		if r.previous != nil {
			r.previous.UnansweredUntil, r.previous.ExpiresBy = start.Add(20*time.Second), start.Add(20*time.Second)
		}
	}
	late, granted := 0, time.Time{}
	for now := start; granted.IsZero() && now.Sub(start) < 20*time.Second; now = now.Add(50 * time.Millisecond) {
		for _, o := range table.TakeDueOrders(now, listing("a", "b")) {
			result := OrderResult{Order: o, Outcome: OutcomeDone, Ended: now}
			switch {
			case o.Server.Name == "a" && o.Contains(key) && late <= maxSupersedingGrants:
				late++
				result.Outcome, result.Expired = OutcomeUnsent, true
			case o.Server.Name == "b" && o.Contains(key):
				granted = now
			}
			table.Apply(result)
		}
	}
	is.Equal(late, maxSupersedingGrants+1)
	is.True(!granted.IsZero() && granted.Sub(start) < 2*time.Second)
}

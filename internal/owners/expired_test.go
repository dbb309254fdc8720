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

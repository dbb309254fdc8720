package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Guards against two owners of a key: a new holder whose list of servers is older than the record
// takes the owner, which an earlier holder knew as restarted, for ended because the list still
// names the process before it.
func TestListOlderThanTheRecordProvesNoEnd(t *testing.T) {
	for name, listed := range map[string]struct {
		born  int64
		ended bool
	}{
		"the process before the recorded one": {1, false},
		"the recorded process":                {2, false},
		"a later process":                     {3, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			inheritedUntil := now.Add(20 * time.Second)
			record := Record{Epoch: 2, Services: map[string][]RecordRange{service: {{To: NumKeys - 1, Owner: "a", StartMS: 2, Fence: 1}}}}
			table := NewTable(record, "holder", inheritedUntil)
			servers := candidates("a", "b")
			servers[0].StartMS, servers[0].Usable = listed.born, false
			is.True(table.Plan(now, service, servers, uniformRates{}))
			table.MarkStored(table.PlanVersion())
			list := incarnationMap{"a": fleet.Incarnation{Name: "a", StartMS: listed.born}, "b": incarnation("b")}
			granted := func(now time.Time) bool {
				found := false
				for _, o := range table.TakeDueOrders(now, list) {
					found = found || o.Action == ActionGrant && o.Server.Name == "b"
					result := OrderResult{Order: o, Outcome: OutcomeNoAnswer, Ended: now}
					if o.Server.StartMS > 2 {
						result.Outcome = OutcomeDone // the later process releases the keys
					}
					table.Apply(result)
				}
				return found
			}
			for at := now; at.Before(inheritedUntil); at = at.Add(100 * time.Millisecond) {
				if granted(at) {
					is.True(listed.ended) // b has the keys while a may hold them
					return
				}
			}
			is.True(!listed.ended)
		})
	}
}

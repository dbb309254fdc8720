package owners

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Guards against two owners of a key: a process that has started again under its name, at the
// same address, takes the grants to the one before it until it is listed. The end of that one
// proves nothing about them.
func TestRestartedOwnerReleasesTheGrantsThatItTook(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome // of the release by the new process
		served  bool    // by the new owner, before the grant has expired
	}{{"it answers", OutcomeDone, true}, {"it does not answer", OutcomeNoAnswer, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			table := newHeldTable(t, now, "a", "b")
			is.True(table.Plan(now, service, candidates("a", "b"), ratesByKey{10: 20, 20: 20}))
			key := movedKey(t, table)
			confirmMoves(t, table, now, "a", "b") // the new process of a has answered
			table.MarkStored(table.PlanVersion())
			restarted := listing("a", "b")
			restarted["a"] = fleet.Incarnation{Name: "a", StartMS: 2}
			releases, grants := 0, 0
			for range 5 {
				for _, o := range table.TakeDueOrders(now, restarted) {
					outcome := OutcomeDone
					switch {
					case !o.Contains(key):
					case o.Action == ActionRelease:
						is.Equal(o.Server, restarted["a"])
						is.Equal(grants, 0)
						releases++
						outcome = c.outcome
					default:
						is.Equal(o.Server.Name, "b")
						grants++
					}
					table.Apply(OrderResult{Order: o, Outcome: outcome, Ended: now})
				}
			}
			is.True(releases > 0)
			is.Equal(grants > 0, c.served)
			if !c.served {
				is.True(table.ServedAgainBy(service, key).After(now.Add(GrantDuration)))
				is.Equal(runOrders(t, table, table.ServedAgainBy(service, key).Add(time.Millisecond), key, "b"), []step{{ActionGrant, "b"}})
			}
		})
	}
}

// Guards against a release that a restarted server is asked for although it gets its keys back.
func TestRestartedOwnerKeepsItsKeysWithoutARelease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	table := newHeldTable(t, now, "a", "b")
	list := candidates("a", "b")
	list[0].StartMS = 2
	restarted := listing("a", "b")
	restarted["a"] = list[0].Incarnation
	is.True(table.Plan(now, service, list, uniformRates{}))
	table.MarkStored(table.PlanVersion())
	for _, o := range table.TakeDueOrders(now, restarted) {
		is.Equal(o.Action, ActionGrant)
		is.Equal(o.Server, restarted[o.Server.Name])
	}
	owner, _ := table.Owner(service, 5)
	is.Equal(owner, "a")
}

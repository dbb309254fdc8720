package holder

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// listedServers are servers that run in their first incarnation.
type listedServers []string

func (l listedServers) Current(_, name string) (fleet.Incarnation, bool) {
	for _, s := range l {
		if s == name {
			return fleet.Incarnation{Name: name, StartMS: 1}, true
		}
	}
	return fleet.Incarnation{}, false
}

func (l listedServers) candidates() []owners.Candidate {
	var out []owners.Candidate
	for _, s := range l {
		out = append(out, owners.Candidate{Incarnation: fleet.Incarnation{Name: s, StartMS: 1}, Slots: 3, Usable: true})
	}
	return out
}

// Guards against two owners of a key when a network partition resets connections: the
// server behind it runs on and serves its keys until its last grant expires, however often
// and for however long connections to it are refused.
func TestRefusedConnectionsDoNotEndAGrant(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	servers := listedServers{"a", "b", "c"}
	record := owners.Record{Epoch: 2, Services: map[string][]owners.RecordRange{"s": {
		{From: 0, To: 999, Owner: "a", StartMS: 1, Fence: 1}, {From: 1000, To: owners.NumKeys - 1, Owner: "b", StartMS: 1, Fence: 2},
	}}}
	table := owners.NewTable(record, "h", now)
	c := &Coordinator{table: table, scheduler: placing.New(placing.RetryBudget{Window: time.Second}, table, rand.New(rand.NewPCG(1, 2)))}
	var lastGrantAt time.Time // of a, whose clock may be slow and which may serve its keys until this grant expires
	cutAt := now.Add(2 * time.Second)
	served := time.Time{}
	for ; now.Before(cutAt.Add(2*owners.GrantDuration)) && served.IsZero(); now = now.Add(50 * time.Millisecond) {
		for _, o := range table.TakeDueOrders(now, servers) {
			result := owners.OrderResult{Order: o, Outcome: owners.OutcomeDone, Ended: now}
			switch {
			case o.Server.Name == "a" && now.After(cutAt):
				result.Outcome = owners.OutcomeRefused
			case o.Server.Name == "a" && o.Action == owners.ActionGrant:
				lastGrantAt = now
			case o.Server.Name != "a" && o.Action == owners.ActionGrant && o.From < 1000 && served.IsZero():
				served = now
			}
			c.applyResult(result)
		}
		table.Plan(now, "s", servers.candidates(), &placing.KeyRates{})
		table.MarkStored(table.PlanVersion())
	}
	is.True(!served.IsZero())                                            // the keys are granted to another server in the end
	is.True(served.Sub(lastGrantAt) >= owners.GrantDuration*102/100)     // but not before the grant of a has expired by a slow clock
	is.True(served.Sub(lastGrantAt) <= owners.GrantDuration+time.Second) // and soon after it
}

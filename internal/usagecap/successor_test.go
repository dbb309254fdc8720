package usagecap

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Guards against a successor that refuses most requests of a team for as long as allowances of
// its predecessor last: a predecessor that has lost its lease tells its followers small
// allowances, in place of those that it had told before.
func TestSuccessorServesWhatItsInstancesNeed(t *testing.T) {
	is := is.New(t)
	limit := fleet.Cap{Rate: 100, Burst: 100}
	predecessor, now := newFullLedger(limit)
	for range 1000 { // both instances use half of the cap
		now = now.Add(10 * time.Millisecond)
		reserveMany(predecessor, now, "a", 1)
		reserveMany(predecessor, now, "b", 1)
	}
	predecessor.SetShare(now, 0.02) // its lease has ended
	var bucket LocalBucket
	for n := range 20 {
		bucket = bucket.Tell(now, predecessor.Allowance(modelTeam, "a"))
		now = now.Add(time.Duration(n) * time.Millisecond)
	}
	successor := NewLedger(now)
	successor.Succeed(now)
	successor.SetTeams(now, teamsOf(limit))
	successor.SetInstances(2)
	successor.SetShare(now, 0.5) // one of two instances has joined
	successor.Inherit(now, "a", map[string]Holding{modelTeam: bucket.Holding(now, limit)})
	served := 0
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		served += reserveMany(successor, now, "a", 3)
	}
	is.True(served > 200) // of 250 in 5 s
	is.True(served <= 300)
}

package placing

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
)

// othersInTime plays a load and returns the share of the requests of all teams but the loud
// one that are served in time.
func othersInTime(t *testing.T, p loadPattern) float64 {
	others := &loadResult{}
	for seed := range uint64(3) {
		for name, one := range replay(t, p, seed).teams {
			if name != "t0" {
				others.add(one)
			}
		}
	}
	t.Log(others)
	return float64(others.inTime) / float64(others.sent)
}

// Guards against a team that sends ten times its usual and takes the capacity of all others,
// whose load the servers can carry.
func TestLoudTeamDoesNotHarmTheOthers(t *testing.T) {
	is := is.New(t)
	is.True(othersInTime(t, loudTeam(1.4)) >= 0.99)
	is.True(othersInTime(t, loudTeam(2.5)) >= 0.99)
	keyed := loudTeam(1.4)
	keyed.keyed = true
	keyed.ownerOf = func(key int) int { return key % len(keyed.speeds) }
	is.True(othersInTime(t, withTarget(keyed, 3*time.Second)) >= 0.99)
	// With 1 s, two requests in the queue of a server that takes 460 ms are too many.
	is.True(othersInTime(t, keyed) >= 0.87)
}

// Guards against another order than that of arrival within a priority where there are no teams.
func TestQueueIsInOrderOfArrivalWithoutTeams(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(4, 4))
	var q queue
	var want []*queuedAttempt
	for n := range uint64(3000) {
		if len(want) > 0 && random.IntN(3) == 0 {
			i := random.IntN(len(want))
			q.serveAt(i)
			want = append(want[:i], want[i+1:]...)
			continue
		}
		w := &queuedAttempt{Attempt: newAttempt(n, start)}
		w.Priority = random.IntN(3)
		q.insert(w)
		want = append(want, w)
		sort.SliceStable(want, func(i, j int) bool { return want[i].Priority < want[j].Priority })
	}
	is.Equal(q.waiting, want)
	is.True(q.clock.next == nil) // costs nothing
}

// Guards against a priority that does not come before the turn of the teams.
func TestPriorityComesBeforeTheTurnOfTeams(t *testing.T) {
	is := is.New(t)
	var q queue
	for n := range uint64(6) {
		w := &queuedAttempt{Attempt: newAttempt(n, start)}
		w.Team, w.Priority = "a", int(n%2)
		q.insert(w)
	}
	b := &queuedAttempt{Attempt: newAttempt(10, start)}
	b.Team, b.Priority = "b", 1
	q.insert(b)
	var order []string
	for _, w := range q.waiting {
		order = append(order, fmt.Sprint(w.Priority, " ", w.Team))
	}
	is.Equal(order, []string{"0 a", "0 a", "0 a", "1 a", "1 b", "1 a", "1 a"})
}

// Guards against a team that is put back for attempts that were refused or cancelled.
func TestRefusedAttemptsAreNotCounted(t *testing.T) {
	is := is.New(t)
	var q queue
	add := func(n uint64, team string) {
		w := &queuedAttempt{Attempt: newAttempt(n, start)}
		w.Team = team
		q.insert(w)
	}
	add(0, "a")
	add(1, "b")
	for n := range uint64(100) {
		add(100+n, "a")
		q.filter(func(w *queuedAttempt) bool { return w.AttemptID.Number < 100 })
	}
	add(2, "a")
	add(3, "b")
	is.Equal(q.waiting[2].AttemptID.Number, uint64(2))
	is.Equal(q.waiting[3].AttemptID.Number, uint64(3))
	q.filter(func(*queuedAttempt) bool { return false })
	is.Equal(len(q.clock.next), 0)
}

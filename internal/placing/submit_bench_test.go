package placing

import (
	"fmt"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// evenOwners is an Owners in which each server owns an equal part of the keys.
type evenOwners struct{ names []string }

func (o evenOwners) Owner(_ string, key int) (string, bool) {
	return o.names[key*len(o.names)/NumKeys], true
}
func (o evenOwners) ServedAgainBy(string, int) time.Time { return time.Time{} }

// benchmarkLoad measures Submit and Complete of a keyed service of 234 servers that gets the
// given requests/s with 230 ms of work each, for the given number of teams.
func benchmarkLoad(b *testing.B, perSecond, teams int) {
	var servers []fleet.Server
	var owners evenOwners
	for n := range 234 {
		servers = append(servers, backend(fmt.Sprint("s", n), "d1"))
		owners.names = append(owners.names, fmt.Sprint("s", n))
	}
	sched := newScheduler(true, owners, servers...)
	type ending struct {
		at time.Time
		d  Decision
	}
	var running []ending
	now, n := start, uint64(0)
	names := make([]string, max(teams, 1))
	for i := range teams {
		names[i] = fmt.Sprint("t", i)
	}
	b.ReportAllocs()
	for b.Loop() {
		n++
		now = now.Add(time.Second / time.Duration(perSecond))
		for len(running) > 0 && running[0].at.Before(now) {
			e := running[0]
			running = running[1:]
			sched.Complete(now, Completion{AttemptID: e.d.AttemptID, Server: e.d.Server, Outcome: Answered, Duration: meanWork})
		}
		if n%uint64(perSecond/20) == 0 {
			sched.Tick(now)
		}
		a := newAttempt(n, now)
		a.Key, a.ContentHash, a.Team = int(n*40503%NumKeys), n, names[int(n)%len(names)]
		sched.Submit(now, a)
		for _, d := range sched.TakeDecisions() {
			if d.Server != "" {
				running = append(running, ending{now.Add(meanWork), d})
			}
		}
	}
}

func BenchmarkLoad(b *testing.B) {
	b.Run("41% of the slots", func(b *testing.B) { benchmarkLoad(b, 1266, 0) })
	b.Run("150% of the slots", func(b *testing.B) { benchmarkLoad(b, 4580, 0) })
	b.Run("150% of the slots, 79 teams", func(b *testing.B) { benchmarkLoad(b, 4580, 79) })
}

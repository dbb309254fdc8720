package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// newCappedScheduler returns a scheduler of one server, and the time at which the bucket of
// the team "t" with the given cap is full.
func newCappedScheduler(limit fleet.Cap) (*Scheduler, time.Time) {
	sched := newScheduler(false, &soleOwner{}, backend("a", "d1"))
	ledger := usagecap.NewLedger(start)
	ledger.SetTeams(start, map[string]*fleet.Team{"t": {Name: "t", Cap: limit}})
	ledger.SetInstances(1)
	sched.UseLedger(ledger)
	return sched, start.Add(3 * time.Hour)
}

func newTeamAttempt(n uint64, now time.Time) Attempt {
	a := newAttempt(n, now)
	a.Team = "t"
	return a
}

func countReason(decisions []Decision, reason Reason) int {
	n := 0
	for _, d := range decisions {
		if d.Reason == reason {
			n++
		}
	}
	return n
}

// Guards against a team that gets more than its cap, by assigned and queued requests
// together, and against refusals that do not spread the return over the rate of the cap.
func TestTeamCapRefusesRequestsBeyondIt(t *testing.T) {
	is := is.New(t)
	sched, now := newCappedScheduler(fleet.Cap{Rate: 10, Burst: 5})
	for n := range uint64(8) {
		sched.Submit(now, newTeamAttempt(n, now)) // 3 run, 2 are queued
	}
	decisions := sched.TakeDecisions()
	is.Equal(countReason(decisions, ReasonTeamCap), 3)
	is.Equal(countReason(decisions, ReasonNone), 3)
	for i, want := range []time.Duration{100, 200, 300} {
		d, _ := findDecision(decisions, uint64(5+i))
		is.True((d.RetryAfter - want*time.Millisecond).Abs() < time.Millisecond)
		is.True(d.Allowance.Rate > 0)
	}
	sched.Submit(now, newAttempt(20, now)) // of no team
	is.Equal(countReason(sched.TakeDecisions(), ReasonTeamCap), 0)
}

// Guards against credit that is lost with requests that have not run, and against credit that
// is given back for requests that may have run.
func TestTeamCapGivesBackWhatHasNotRun(t *testing.T) {
	for _, outcome := range []Outcome{Answered, Shed, Misdirected, Unreached, Lost, Abandoned, Unused} {
		t.Run(outcome.String(), func(t *testing.T) {
			is := is.New(t)
			sched, now := newCappedScheduler(fleet.Cap{Rate: 0.001, Burst: 1})
			sched.Submit(now, newTeamAttempt(1, now))
			d, _ := findDecision(sched.TakeDecisions(), 1)
			is.Equal(d.Server, "a")
			for range 2 { // a report that comes twice gives back once
				sched.Complete(now, Completion{AttemptID: d.AttemptID, Server: "a", Outcome: outcome, Duration: time.Millisecond})
			}
			now = now.Add(3 * time.Second) // after any backoff of the server
			sched.Submit(now, newTeamAttempt(2, now))
			sched.Submit(now, newTeamAttempt(3, now))
			refused := countReason(sched.TakeDecisions(), ReasonTeamCap)
			notRun := outcome == Shed || outcome == Misdirected || outcome == Unreached || outcome == Unused
			is.Equal(outcome.MayHaveRun(), !notRun)
			is.Equal(refused == 1, notRun)
		})
	}
}

// Guards against reservations of queued requests that are never given back.
func TestTeamCapGivesBackReservations(t *testing.T) {
	for _, end := range []string{"cancelled", "refused"} {
		t.Run(end, func(t *testing.T) {
			is := is.New(t)
			sched, now := newCappedScheduler(fleet.Cap{Rate: 0.001, Burst: 5})
			for n := range uint64(5) {
				sched.Submit(now, newTeamAttempt(n, now))
			}
			is.Equal(len(sched.TakeDecisions()), 3)
			if end == "cancelled" {
				sched.Cancel(AttemptID{"i", 3})
				sched.Cancel(AttemptID{"i", 4})
			} else {
				now = now.Add(2 * time.Second)
				sched.Tick(now)
				is.Equal(countReason(sched.TakeDecisions(), ReasonOverload), 2)
			}
			for n := uint64(10); n < 13; n++ {
				sched.Submit(now, newTeamAttempt(n, now))
			}
			is.Equal(countReason(sched.TakeDecisions(), ReasonTeamCap), 1)
		})
	}
}

// Guards against a request that was admitted, did not run and is then refused by the cap,
// and against repetitions that are not counted.
func TestTeamCapAdmitsRepeatedRequests(t *testing.T) {
	is := is.New(t)
	sched, now := newCappedScheduler(fleet.Cap{Rate: 10, Burst: 1})
	sched.Submit(now, newTeamAttempt(1, now))
	retry := newTeamAttempt(2, now)
	retry.Tried, retry.Resubmitted = []string{"a"}, true
	sched.Submit(now, retry)
	is.Equal(countReason(sched.TakeDecisions(), ReasonNone), 2)
	now = now.Add(150 * time.Millisecond) // the bucket was at -1
	sched.Submit(now, newTeamAttempt(3, now))
	is.Equal(countReason(sched.TakeDecisions(), ReasonTeamCap), 1)
}

// BenchmarkSubmit measures a request that is placed and answered, without teams and with
// 10,000 of them.
func BenchmarkSubmit(b *testing.B) {
	for _, count := range []int{0, 1, 10000} {
		b.Run(fmt.Sprint(count, " teams"), func(b *testing.B) {
			var servers []fleet.Server
			for n := range 20 {
				servers = append(servers, backend(fmt.Sprint("s", n), "d1"))
			}
			sched := newScheduler(false, &soleOwner{}, servers...)
			teams := map[string]*fleet.Team{}
			var names []string
			for n := range count {
				name := fmt.Sprint("team", n)
				names = append(names, name)
				teams[name] = &fleet.Team{Name: name, Cap: fleet.Cap{Rate: 1e6, Burst: 1e6}}
			}
			if count > 0 {
				ledger := usagecap.NewLedger(start)
				ledger.SetTeams(start, teams)
				ledger.SetInstances(89)
				sched.UseLedger(ledger)
			}
			now := start.Add(time.Minute)
			n := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(500 * time.Microsecond)
				n++
				a := newAttempt(n, now)
				a.AttemptID.Instance = servers[n%20].Name
				if count > 0 {
					a.Team = names[int(n*7919)%count]
				}
				sched.Submit(now, a)
				d := sched.TakeDecisions()[0]
				sched.Complete(now, Completion{AttemptID: d.AttemptID, Server: d.Server, Outcome: Answered, Duration: time.Millisecond})
			}
		})
	}
}

// Guards against a request that costs two tokens because its instance placed it locally and
// reported it before the late decision of the holder as unused.
func TestRequestPlacedBesideDecisionCostsOneToken(t *testing.T) {
	is := is.New(t)
	sched, now := newCappedScheduler(fleet.Cap{Rate: 0.001, Burst: 3})
	sched.Submit(now, newTeamAttempt(1, now))
	decided, _ := findDecision(sched.TakeDecisions(), 1)
	is.Equal(decided.Server, "a")
	sched.Complete(now, Completion{AttemptID: decided.AttemptID, Server: "b", Outcome: Answered, Team: "t"})
	sched.Complete(now, Completion{AttemptID: decided.AttemptID, Server: "a", Outcome: Unused})
	for n := range uint64(4) {
		sched.Submit(now, newTeamAttempt(10+n, now))
	}
	is.Equal(countReason(sched.TakeDecisions(), ReasonTeamCap), 2)
}

// Guards against a refusal before the cap is looked at that tells no allowance: the instance
// takes that for the end of the one that it has.
func TestEveryRefusalTellsTheAllowance(t *testing.T) {
	is := is.New(t)
	sched, now := newCappedScheduler(fleet.Cap{Rate: 10, Burst: 5})
	a := newTeamAttempt(1, now)
	a.Service = "unknown"
	sched.Submit(now, a)
	d, _ := findDecision(sched.TakeDecisions(), 1)
	is.Equal(d.Reason, ReasonNoServer)
	is.True(d.Allowance.Rate > 0)
}

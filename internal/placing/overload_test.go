package placing

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
)

// runningAttempt is an attempt that runs at the simulated server.
type runningAttempt struct {
	decision     Decision
	softDeadline time.Time
	ends         time.Time
}

// onTimeRate simulates requests at the given rate to one server with three slots
// and a service time of about 150 ms. It returns how many requests per second are
// answered before their soft deadline. Refused requests do not come again.
func onTimeRate(t *testing.T, perSecond int, arrive func(sched *Scheduler, now time.Time, a Attempt)) float64 {
	t.Helper()
	const length = 20 * time.Second
	random := rand.New(rand.NewPCG(7, 7))
	sched := newScheduler(false, &soleOwner{}, backend("a", "d1"))
	attempts := map[uint64]Attempt{}
	var busy []runningAttempt
	onTime, n := 0, uint64(0)
	next := start
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			n++
			a := newAttempt(n, now)
			attempts[n] = a
			arrive(sched, now, a)
			next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		}
		sort.Slice(busy, func(i, j int) bool { return busy[i].ends.Before(busy[j].ends) })
		for len(busy) > 0 && !busy[0].ends.After(now) {
			if !busy[0].ends.After(busy[0].softDeadline) {
				onTime++
			}
			sched.Complete(now, Completion{AttemptID: busy[0].decision.AttemptID, Server: "a", Outcome: Answered, Duration: 150 * time.Millisecond})
			busy = busy[1:]
		}
		sched.Tick(now)
		for _, v := range sched.TakeDecisions() {
			if v.Server != "" {
				work := time.Duration((0.7 + 0.6*random.Float64()) * float64(150*time.Millisecond))
				busy = append(busy, runningAttempt{v, attempts[v.AttemptID.Number].SoftDeadline, now.Add(work)})
			}
		}
	}
	return float64(onTime) / length.Seconds()
}

// Guards against goodput that falls beyond saturation: at three times the capacity
// of 20 requests/s the server must answer nearly as many requests before their soft
// deadline as at capacity, and more than with a queue that admits every request
// that could end before its deadline.
func TestGoodputBeyondSaturation(t *testing.T) {
	is := is.New(t)
	arrive := func(sched *Scheduler, now time.Time, a Attempt) { sched.Submit(now, a) }
	// byDeadline admits by the deadline alone, as an earlier version did.
	byDeadline := func(sched *Scheduler, now time.Time, a Attempt) {
		a.SoftDeadline = a.Deadline
		sched.Submit(now, a)
	}
	atCapacity := onTimeRate(t, 20, arrive)
	beyond := onTimeRate(t, 60, arrive)
	before := onTimeRate(t, 60, byDeadline)
	t.Logf("requests/s answered before the soft deadline: %.1f at capacity, %.1f at three times the capacity, %.1f when admitted by deadline alone", atCapacity, beyond, before)
	is.True(beyond >= 0.8*20)
	is.True(beyond > before)
}

// Guards against requests that are all sent to the one server whose address belongs to
// another by now: it misdirects each at once, and so always has a free slot.
func TestMisdirectingServerDoesNotAttractRequests(t *testing.T) {
	is := is.New(t)
	sched := newScheduler(false, &soleOwner{}, backend("a", "d1"), backend("b", "d1"), backend("c", "d1"))
	now := start
	type running struct {
		id  AttemptID
		end time.Time
		at  string
	}
	var inFlight []running
	misdirected, answered := 0, 0
	for n := uint64(1); n <= 400; n++ { // 40/s for 10 s; a and b answer up to 60/s
		now = now.Add(25 * time.Millisecond)
		sched.Submit(now, newAttempt(n, now))
		sched.Tick(now)
		for _, d := range sched.TakeDecisions() {
			if d.Server == "c" {
				misdirected++
				sched.Complete(now, Completion{AttemptID: d.AttemptID, Server: "c", Outcome: Misdirected, Duration: time.Millisecond})
			} else if d.Server != "" {
				inFlight = append(inFlight, running{d.AttemptID, now.Add(100 * time.Millisecond), d.Server})
			}
		}
		for len(inFlight) > 0 && !now.Before(inFlight[0].end) {
			sched.Complete(now, Completion{AttemptID: inFlight[0].id, Server: inFlight[0].at, Outcome: Answered, Duration: 100 * time.Millisecond})
			inFlight, answered = inFlight[1:], answered+1
		}
	}
	is.True(misdirected <= 20) // it is tried about every 2 s
	is.True(answered >= 370)
}

package placing

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
)

// runningAttempt is a request at the stand-in server of a replay.
type runningAttempt struct {
	decision Decision
	target  time.Time
	ends    time.Time
}

// onTimeRate sends requests at the given rate to one server with three slots and
// 150 ms of work, and returns how many a second are answered by their target.
// Each refused request comes once more.
func onTimeRate(t *testing.T, perSecond int, arrive func(p *Scheduler, now time.Time, a Attempt)) float64 {
	t.Helper()
	const length = 20 * time.Second
	random := rand.New(rand.NewPCG(7, 7))
	p := newScheduler(false, &soleOwner{}, backend("a", "d1"))
	targets := map[uint64]Attempt{}
	var busy []runningAttempt
	onTime, n := 0, uint64(0)
	next := start
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			n++
			a := newAttempt(n, now)
			targets[n] = a
			arrive(p, now, a)
			next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		}
		sort.Slice(busy, func(i, j int) bool { return busy[i].ends.Before(busy[j].ends) })
		for len(busy) > 0 && !busy[0].ends.After(now) {
			if !busy[0].ends.After(busy[0].target) {
				onTime++
			}
			p.Complete(now, Completion{AttemptID: busy[0].decision.AttemptID, Server: "a", Outcome: Answered, Duration: 150 * time.Millisecond})
			busy = busy[1:]
		}
		p.Tick(now)
		for _, v := range p.TakeDecisions() {
			if v.Server != "" {
				work := time.Duration((0.7 + 0.6*random.Float64()) * float64(150*time.Millisecond))
				busy = append(busy, runningAttempt{v, targets[v.AttemptID.Number].SoftDeadline, now.Add(work)})
			}
		}
	}
	return float64(onTime) / length.Seconds()
}

// Guards against goodput that falls beyond saturation: at three times the
// capacity of 20/s the server still answers nearly as many by their target, and
// far more than a queue that admits whatever could end before its deadline.
func TestGoodputBeyondSaturation(t *testing.T) {
	is := is.New(t)
	arrive := func(p *Scheduler, now time.Time, a Attempt) { p.Submit(now, a) }
	// The version before judged by the deadline alone.
	byDeadline := func(p *Scheduler, now time.Time, a Attempt) {
		a.SoftDeadline = a.Deadline
		p.Submit(now, a)
	}
	atCapacity := onTimeRate(t, 20, arrive)
	beyond := onTimeRate(t, 60, arrive)
	before := onTimeRate(t, 60, byDeadline)
	t.Logf("answered by target a second: at capacity %.1f, at three times it %.1f, judged by deadline %.1f", atCapacity, beyond, before)
	is.True(beyond >= 0.8*20)
	is.True(beyond > before)
}

package placing

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// p99WithStall sends 100 requests/s to ten servers with 100 ms of work for 30 s.
// From the fifth second on the first server takes stall times as long. It
// returns the time that 99 of 100 requests took.
func p99WithStall(t *testing.T, stall float64) time.Duration {
	t.Helper()
	random := rand.New(rand.NewPCG(3, 3))
	var servers []fleet.Server
	for i := range 10 {
		servers = append(servers, backend(fmt.Sprintf("s%d", i), "d1"))
	}
	p := newScheduler(false, &soleOwner{}, servers...)
	type work struct {
		verdict Decision
		since   time.Time
		ends    time.Time
	}
	arrived := map[uint64]time.Time{}
	var busy []work
	var took []time.Duration
	next, n := start, uint64(0)
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			n++
			a := newAttempt(n, now)
			a.SoftDeadline, a.Deadline = now.Add(2*time.Second), now.Add(3*time.Second)
			arrived[n] = now
			p.Submit(now, a)
			next = next.Add(time.Duration(random.ExpFloat64() * float64(10*time.Millisecond)))
		}
		sort.Slice(busy, func(i, j int) bool { return busy[i].ends.Before(busy[j].ends) })
		for len(busy) > 0 && !busy[0].ends.After(now) {
			done := busy[0]
			busy = busy[1:]
			took = append(took, now.Sub(arrived[done.verdict.AttemptID.Number]))
			p.Complete(now, Completion{AttemptID: done.verdict.AttemptID, Server: done.verdict.Server, Outcome: Answered, Duration: now.Sub(done.since)})
		}
		p.Tick(now)
		for _, v := range p.TakeDecisions() {
			if v.Server == "" {
				continue
			}
			ms := 70 + 60*random.Float64()
			if v.Server == "s0" && now.After(start.Add(5*time.Second)) {
				ms *= stall
			}
			busy = append(busy, work{v, now, now.Add(time.Duration(ms * float64(time.Millisecond)))})
		}
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	return took[len(took)*99/100]
}

// Guards against a stalled server that takes the tail of all requests along:
// p99 with one server in ten stalled is at most 1.5 times that without.
func TestOneStalledServerInTen(t *testing.T) {
	is := is.New(t)
	without, with := p99WithStall(t, 1), p99WithStall(t, 12)
	t.Logf("p99 without a stall %v, with one %v", without, with)
	is.True(with <= without*3/2)
}

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

// p99WithStall simulates 100 requests/s to ten servers with a service time of about
// 100 ms for 30 s. After five seconds the service time of the first server is
// multiplied by stall. It returns the 99th percentile of the response time.
func p99WithStall(t *testing.T, stall float64) time.Duration {
	t.Helper()
	random := rand.New(rand.NewPCG(3, 3))
	var servers []fleet.Server
	for i := range 10 {
		servers = append(servers, backend(fmt.Sprintf("s%d", i), "d1"))
	}
	sched := newScheduler(false, &soleOwner{}, servers...)
	type work struct {
		decision Decision
		since    time.Time
		ends     time.Time
	}
	arrived := map[uint64]time.Time{}
	var busy []work
	var responseTimes []time.Duration
	next, n := start, uint64(0)
	for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			n++
			a := newAttempt(n, now)
			a.SoftDeadline, a.Deadline = now.Add(2*time.Second), now.Add(3*time.Second)
			arrived[n] = now
			sched.Submit(now, a)
			next = next.Add(time.Duration(random.ExpFloat64() * float64(10*time.Millisecond)))
		}
		sort.Slice(busy, func(i, j int) bool { return busy[i].ends.Before(busy[j].ends) })
		for len(busy) > 0 && !busy[0].ends.After(now) {
			done := busy[0]
			busy = busy[1:]
			responseTimes = append(responseTimes, now.Sub(arrived[done.decision.AttemptID.Number]))
			sched.Complete(now, Completion{AttemptID: done.decision.AttemptID, Server: done.decision.Server, Outcome: Answered, Duration: now.Sub(done.since)})
		}
		sched.Tick(now)
		for _, v := range sched.TakeDecisions() {
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
	sort.Slice(responseTimes, func(i, j int) bool { return responseTimes[i] < responseTimes[j] })
	return responseTimes[len(responseTimes)*99/100]
}

// Guards against one stalled server that raises the tail latency of the service:
// the p99 with one stalled server in ten must be at most 1.5 times that without.
func TestOneStalledServerInTen(t *testing.T) {
	is := is.New(t)
	without, with := p99WithStall(t, 1), p99WithStall(t, 12)
	t.Logf("p99 %v without a stalled server, %v with one", without, with)
	is.True(with <= without*3/2)
}

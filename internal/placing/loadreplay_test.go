package placing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// loadReplay replays a load.
type loadReplay struct {
	*loadPattern
	// arrivals and work are separate, so that all variants of the scheduler get the same load.
	arrivals, work *rand.Rand
	sched          *Scheduler
	now            time.Time
	events         loadEvents
	seq            int
	number         uint64
	open           map[uint64]*loadRequest
	total          *loadResult
	teams          map[string]*loadResult
	// running counts the attempts that run at a server, busy its slots times seconds in use.
	running map[string]int
	busy    map[string]float64
}

// Owner implements Owners.
func (r *loadReplay) Owner(_ string, key int) (string, bool) {
	return fmt.Sprint("s", r.ownerOf(key)), true
}

// ServedAgainBy implements Owners.
func (r *loadReplay) ServedAgainBy(string, int) time.Time { return time.Time{} }

func (r *loadReplay) after(d time.Duration, run func()) {
	r.seq++
	heap.Push(&r.events, loadEvent{r.now.Add(d), r.seq, run})
}

// replay plays the load and returns the results of all callers and of each team.
func replay(t testing.TB, p loadPattern, seed uint64) *loadReplay {
	t.Helper()
	r := &loadReplay{loadPattern: &p, arrivals: rand.New(rand.NewPCG(seed, 5)), work: rand.New(rand.NewPCG(seed, 6)), now: start, open: map[uint64]*loadRequest{},
		total: &loadResult{}, teams: map[string]*loadResult{}, running: map[string]int{}, busy: map[string]float64{}}
	if p.target == 0 {
		p.target = time.Second
	}
	var servers []fleet.Server
	for i := range p.speeds {
		servers = append(servers, backend(fmt.Sprint("s", i), "d1"))
	}
	r.sched = newScheduler(p.keyed, r, servers...)
	var arrive, tick func()
	arrive = func() {
		if r.arrivals.Float64() < p.rate(r.now.Sub(start))/p.maxRate {
			r.begin()
		}
		if r.now.Before(start.Add(p.length)) {
			r.after(time.Duration(r.arrivals.ExpFloat64()/p.maxRate*float64(time.Second)), arrive)
		}
	}
	tick = func() {
		r.sched.Tick(r.now)
		r.decide()
		if r.now.Before(start.Add(p.length + 20*time.Second)) {
			r.after(50*time.Millisecond, tick)
		}
	}
	r.after(0, arrive)
	r.after(0, tick)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(loadEvent)
		r.now = e.at
		e.run()
	}
	return r
}

// results returns those of all callers and those of the team.
func (r *loadReplay) results(team string) []*loadResult {
	if team == "" {
		return []*loadResult{r.total}
	}
	if r.teams[team] == nil {
		r.teams[team] = &loadResult{}
	}
	return []*loadResult{r.total, r.teams[team]}
}

func (r *loadReplay) begin() {
	r.number++
	q := &loadRequest{loadClass: newLoadClass(r.arrivals, r.target), number: r.number, startedAt: r.now}
	q.key, q.team = r.next(r.arrivals)
	for _, all := range r.results(q.team) {
		all.sent++
	}
	r.send(q)
}

// send submits the request over a connection of its own. An instance knows the latency
// target of the route, not when the caller sent the request first.
func (r *loadReplay) send(q *loadRequest) {
	q.sentAt = r.now
	number := 2 * q.number
	if q.returned {
		number++
	}
	r.open[number] = q
	hash := q.number
	if q.returned && r.unrecognised {
		hash = -q.number
	}
	key := NoKey
	if r.keyed {
		key = q.key
	}
	r.sched.Submit(r.now, Attempt{
		AttemptID: AttemptID{Instance: "i", Number: number}, Service: "s", Key: key, Team: q.team, Domain: "d1",
		SoftDeadline: r.now.Add(q.target), Deadline: q.startedAt.Add(q.patience), ContentHash: hash,
	})
	r.decide()
}

// decide carries out the decisions of the scheduler.
func (r *loadReplay) decide() {
	for _, d := range r.sched.TakeDecisions() {
		q := r.open[d.AttemptID.Number]
		delete(r.open, d.AttemptID.Number)
		if d.Server == "" {
			r.refused(q, d.RetryAfter)
			continue
		}
		var n int
		_, _ = fmt.Sscanf(d.Server, "s%d", &n)
		// A server runs as many requests as it has slots; more wait at the server.
		work := time.Duration((0.7 + 0.6*r.work.Float64()) / r.speeds[n] * float64(meanWork))
		r.running[d.Server]++
		at := r.now
		if r.running[d.Server] > 3 {
			work += time.Duration(float64(meanWork) / r.speeds[n] / 3)
		}
		r.after(work, func() { r.ended(q, d, at) })
	}
}

func (r *loadReplay) ended(q *loadRequest, d Decision, since time.Time) {
	r.running[d.Server]--
	r.busy[d.Server] += r.now.Sub(since).Seconds()
	took := r.now.Sub(q.startedAt)
	for _, all := range r.results(q.team) {
		switch {
		case took <= q.target:
			all.inTime++
		case took <= q.patience:
			all.late++
		default:
			all.unserved++
			all.refusalsOfUnserved += q.refusals
		}
		if q.returned && took <= q.patience {
			all.returnedServed++
			if q.told {
				all.toldServed++
			}
		}
		all.waits = append(all.waits, since.Sub(q.startedAt))
	}
	r.sched.Complete(r.now, Completion{AttemptID: d.AttemptID, Server: d.Server, Outcome: Answered, Duration: r.now.Sub(since)})
	r.decide()
}

// refused lets the caller return once, after the time that it was told but at most a third
// of the time that it has left.
func (r *loadReplay) refused(q *loadRequest, retryAfter time.Duration) {
	q.refusals++
	left := q.startedAt.Add(q.patience).Sub(r.now)
	if !q.returned {
		q.told = retryAfter <= left/3
	}
	for _, all := range r.results(q.team) {
		all.refusals++
		all.verdictDelays = append(all.verdictDelays, r.now.Sub(q.sentAt))
		if q.returned || left <= 0 {
			all.unserved++
			all.refusalsOfUnserved += q.refusals
		} else {
			all.returned++
			if q.told {
				all.told++
			}
		}
	}
	if !q.returned && left > 0 {
		q.returned = true
		r.after(min(retryAfter, left/3)+time.Millisecond, func() { r.send(q) })
	}
}

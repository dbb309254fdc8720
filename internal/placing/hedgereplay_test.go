package placing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/hedge"
)

const (
	hedgeServers   = 30
	hedgeInstances = 10
	hedgeWork      = 100 * time.Millisecond
	// tailShare of the requests take tailFactor times the usual work.
	tailShare, tailFactor = 0.03, 7
	// A server stalls for stallTime, on average once in stallEvery.
	stallTime, stallEvery            = time.Second, 30 * time.Second
	hedgeRetryRatio, hedgeRetryExtra = 0.2, 64
)

// hedgeReplay is a load on a service without keys, whose servers have speeds from 0.5 to 1.7,
// a heavy tail and stalls, in virtual time. Its instances learn the delay on their own.
type hedgeReplay struct {
	sched    *Scheduler
	now      time.Time
	events   loadEvents
	seq      int
	number   uint64
	work     *rand.Rand
	speeds   map[string]float64
	stalls   map[string][]time.Time
	open     map[uint64]*hedgeRequest
	hedging  bool
	delays   []*hedge.Delays
	measured time.Time // from when on requests count
	result   hedgeResult
}

func (r *hedgeReplay) after(d time.Duration, run func()) {
	r.seq++
	heap.Push(&r.events, loadEvent{r.now.Add(d), r.seq, run})
}

// replayHedges plays the load with the given utilisation of the slots and share of hedges.
func replayHedges(t testing.TB, utilisation, share float64, length time.Duration) *hedgeResult {
	t.Helper()
	arrivals, stalls := rand.New(rand.NewPCG(1, 5)), rand.New(rand.NewPCG(1, 7))
	r := &hedgeReplay{now: start, work: rand.New(rand.NewPCG(1, 6)), speeds: map[string]float64{}, stalls: map[string][]time.Time{}, open: map[uint64]*hedgeRequest{}, hedging: share > 0}
	r.measured = start.Add(12 * time.Second)
	end := start.Add(length)
	r.sched = New(RetryBudget{Window: 10 * time.Second, Ratio: hedgeRetryRatio, Extra: hedgeRetryExtra, HedgeShare: share}, &soleOwner{}, rand.New(rand.NewPCG(1, 2)))
	var servers []fleet.Server
	sum := 0.0
	for i := range hedgeServers {
		name := fmt.Sprint("s", i)
		servers = append(servers, backend(name, "d1"))
		r.speeds[name] = 0.5 + 1.2*float64(i)/(hedgeServers-1)
		sum += r.speeds[name]
		for at := start; at.Before(end); at = at.Add(stallTime + time.Duration(stalls.ExpFloat64()*float64(stallEvery))) {
			r.stalls[name] = append(r.stalls[name], at.Add(time.Duration(stalls.Float64()*float64(stallEvery))))
		}
	}
	for range hedgeInstances {
		r.delays = append(r.delays, hedge.NewDelays(share))
	}
	r.sched.Update(start, map[string]*fleet.Service{"s": {Name: "s"}}, servers, func(*fleet.Server) bool { return false })
	rate := utilisation * 3 * sum / (hedgeWork.Seconds() * (1 + tailShare*(tailFactor-1)))
	var arrive, tick func()
	arrive = func() {
		r.begin(arrivals.IntN(hedgeInstances))
		if r.now.Before(end) {
			r.after(time.Duration(arrivals.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
	}
	tick = func() {
		r.sched.Tick(r.now)
		r.decide()
		if r.now.Before(end.Add(5 * time.Second)) {
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
	r.result.slots = r.result.busy.Seconds() / (end.Sub(r.measured).Seconds() * 3 * hedgeServers)
	return &r.result
}

func (r *hedgeReplay) begin(instance int) {
	r.number++
	q := &hedgeRequest{startedAt: r.now, delay: r.delays[instance].Of("s"), instance: fmt.Sprint("i", instance)}
	if !q.startedAt.Before(r.measured) {
		r.result.requests++
	}
	r.submit(q, Attempt{})
}

func (r *hedgeReplay) submit(q *hedgeRequest, a Attempt) {
	r.number++
	r.open[r.number] = q
	a.AttemptID, a.Service, a.Key, a.Domain = AttemptID{Instance: q.instance, Number: r.number}, "s", NoKey, "d1"
	a.SoftDeadline, a.Deadline = q.startedAt.Add(1500*time.Millisecond), q.startedAt.Add(5*time.Second)
	r.sched.Submit(r.now, a)
	r.decide()
}

// decide carries out the decisions of the scheduler.
func (r *hedgeReplay) decide() {
	for _, d := range r.sched.TakeDecisions() {
		q := r.open[d.AttemptID.Number]
		delete(r.open, d.AttemptID.Number)
		isHedge := len(q.attempts) > 0
		if d.Server == "" {
			if !isHedge && !q.startedAt.Before(r.measured) {
				r.result.refused++
			}
			continue
		}
		if isHedge && !q.startedAt.Before(r.measured) {
			r.result.hedges++
		}
		a := &hedgeAttempt{Decision: d, startedAt: r.now, isHedge: isHedge}
		q.attempts = append(q.attempts, a)
		r.after(r.workAt(d.Server), func() { r.answered(q, a) })
		if after, known := q.delay.After(); known && r.hedging && !isHedge {
			r.after(after, func() {
				if !q.done {
					r.submit(q, Attempt{Hedge: true, Resubmitted: true, Tried: []string{d.Server}})
				}
			})
		}
	}
}

// workAt returns how long an attempt that begins now takes at the server.
func (r *hedgeReplay) workAt(server string) time.Duration {
	work := (0.7 + 0.6*r.work.Float64()) / r.speeds[server] * float64(hedgeWork)
	if r.work.Float64() < tailShare {
		work *= tailFactor
	}
	end := r.now.Add(time.Duration(work))
	for _, at := range r.stalls[server] {
		if at.Before(end) && at.Add(stallTime).After(r.now) {
			begin := at
			if begin.Before(r.now) {
				begin = r.now
			}
			end = end.Add(at.Add(stallTime).Sub(begin))
		}
	}
	return end.Sub(r.now)
}

// answered ends the request with the attempt, unless it was cancelled, and cancels the other.
func (r *hedgeReplay) answered(q *hedgeRequest, a *hedgeAttempt) {
	if a.ended {
		return
	}
	q.done = true
	measured := !q.startedAt.Before(r.measured)
	if measured {
		r.result.times = append(r.result.times, r.now.Sub(q.startedAt))
		if a.isHedge {
			r.result.won++
		}
	}
	for _, one := range q.attempts {
		one.ended = true
		took, outcome := r.now.Sub(one.startedAt), Answered
		if one != a {
			outcome = Cancelled
		}
		if measured {
			r.result.busy += took
			if one != a {
				r.result.wasted += took
			}
		}
		switch {
		case one.isHedge:
		case outcome == Answered:
			q.delay.Observe(took)
		default:
			q.delay.ObserveUnfinished(took)
		}
		r.sched.Complete(r.now, Completion{AttemptID: one.AttemptID, Server: one.Server, Outcome: outcome, Duration: took})
	}
	r.decide()
}

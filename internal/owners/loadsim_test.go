package owners_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
)

const (
	loadService = "desk"
	numKeys     = owners.NumKeys

	loadTarget  = 800 * time.Millisecond
	loadTimeout = 3 * time.Second
	meanWork    = 200 * time.Millisecond
	// workSigma is the standard deviation of the logarithm of the work.
	workSigma = 0.5
	// longShare of the requests take longFactor times as long.
	longShare, longFactor = 0.03, 7.0

	// The load is a wave about its mean with this amplitude and period. The callers of each of
	// the failure domains are shifted by waveShift against the one before.
	waveAmplitude = 0.55
	wavePeriod    = 17 * time.Second
	waveShift     = 700 * time.Millisecond
	waveDomains   = 3

	// The intervals of the holder, and the times of its calls.
	loadTick         = 50 * time.Millisecond
	loadPlanInterval = 250 * time.Millisecond
	linkTime         = 20 * time.Millisecond
	orderTime        = 5 * time.Millisecond
	storeTime        = 30 * time.Millisecond
	// resultsDelay is the time within which the holder handles several results of orders at once.
	resultsDelay = 5 * time.Millisecond
)

// loadSim runs the table and the scheduler of a holder against servers in virtual time.
type loadSim struct {
	start, now time.Time
	random     *rand.Rand
	events     loadEvents
	table      *owners.Table
	scheduler  *placing.Scheduler
	servers    map[string]*loadServer
	services   map[string]*fleet.Service
	requests   map[uint64]*loadRequest
	count      uint64
	storing    bool
	// resultsPending is whether results of orders are to be handled.
	resultsPending bool
	storedAt       time.Time
	plannedAt      time.Time
	// result is that of the current period.
	result *loadResult
	// waves is whether the load is a wave, and not constant.
	waves bool
	// moves are all moves so far.
	moves []owners.Move
	// hotOwners is the number of owners of the hot keys shortly after their burst has begun.
	hotOwners int
	// planTime is the processor time of Plan, and plans the number of calls.
	planTime time.Duration
	plans    int
}

// newLoadSim returns a fleet of servers with different speeds, in random order.
func newLoadSim(seed uint64, servers int) *loadSim {
	start := time.Unix(100000, 0)
	s := &loadSim{
		start: start, now: start, random: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*loadServer{},
		requests: map[uint64]*loadRequest{}, result: &loadResult{reasons: map[string]int{}},
		services: map[string]*fleet.Service{loadService: {Name: loadService, Keyed: true, ColdRate: 5}},
	}
	for i, place := range s.random.Perm(servers) {
		s.addServer(fmt.Sprintf("s%03d", i), serverSpeed(float64(place)/float64(max(1, servers-1))))
	}
	s.begin(owners.Record{Epoch: 1})
	return s
}

// serverSpeed returns the speed of the server at the given place from 0 to 1 in the order of
// speeds: from 0.5 to 1.7, most of them near the middle.
func serverSpeed(place float64) float64 {
	distance := 2*place - 1
	return 1.1 + 0.6*distance*math.Abs(distance)
}

// begin starts a holder with the record.
func (s *loadSim) begin(record owners.Record) {
	s.table = owners.NewTable(record, "holder", s.now)
	s.scheduler = placing.New(placing.RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Extra: 5}, s.table, rand.New(rand.NewPCG(s.random.Uint64(), 2)))
	s.scheduler.UseRelativeTimes(record.RelativeTimes)
	s.storing = false
	s.update()
}

func (s *loadSim) addServer(name string, speed float64) {
	s.servers[name] = &loadServer{
		slowsDown: len(s.servers)%3 == 0,
		Server:    fleet.Server{Incarnation: fleet.Incarnation{Name: name, StartMS: 1}, Service: loadService, Address: fleet.Address(name + ":1"), Domain: "d", Slots: 4},
		speed:     speed, active: map[int]int{}, random: rand.New(rand.NewPCG(s.random.Uint64(), 3)),
	}
}

// Current implements owners.IncarnationLookup.
func (s *loadSim) Current(_, name string) (fleet.Incarnation, bool) {
	server := s.servers[name]
	if server == nil {
		return fleet.Incarnation{}, false
	}
	return server.Incarnation, true
}

func (s *loadSim) sorted() []*loadServer {
	var out []*loadServer
	for _, server := range s.servers {
		out = append(out, server)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ownersOf returns the number of servers that own the keys from first to last.
func (s *loadSim) ownersOf(first, last int) int {
	found := map[string]bool{}
	for key := first; key <= last; key++ {
		owner, _ := s.table.Owner(loadService, key)
		found[owner] = true
	}
	return len(found)
}

// update passes the list of servers to the scheduler.
func (s *loadSim) update() {
	var listed []fleet.Server
	for _, server := range s.sorted() {
		listed = append(listed, server.Server)
	}
	s.scheduler.Update(s.now, s.services, listed, func(server *fleet.Server) bool { return server.Leaving })
	s.plan()
}

func (s *loadSim) after(delay time.Duration, run func()) {
	heap.Push(&s.events, loadEvent{at: s.now.Add(delay), run: run})
}

// run generates load for the duration and returns how the requests that arrive in it end. The
// result is complete once the requests that are open at its end have been answered.
func (s *loadSim) run(duration time.Duration, perSecond float64, hot ...hotKeys) *loadResult {
	s.result = &loadResult{reasons: map[string]int{}}
	result, begin := s.result, s.now
	for domain := range waveDomains {
		s.arrivals(begin, 0, duration, perSecond*(1+waveAmplitude)/waveDomains, func() int {
			if shift := time.Duration(domain) * waveShift; s.random.Float64()*(1+waveAmplitude) > s.wave(shift) {
				return -1
			}
			return s.random.IntN(numKeys)
		})
	}
	for _, h := range hot {
		s.arrivals(begin, h.from, h.to, h.perSecond, func() int { return h.first + s.random.IntN(h.count) })
	}
	for at := time.Duration(0); at < duration; at += loadTick {
		heap.Push(&s.events, loadEvent{at: begin.Add(at), run: s.tick})
	}
	end := begin.Add(duration)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(loadEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
	return result
}

// finish lets the open requests end.
func (s *loadSim) finish() {
	s.run(loadTimeout+time.Second, 0)
}

// wave returns the load at the moment in multiples of its mean.
func (s *loadSim) wave(shift time.Duration) float64 {
	if !s.waves {
		return 1
	}
	return 1 + waveAmplitude*math.Sin(2*math.Pi*(s.now.Sub(s.start)+shift).Seconds()/wavePeriod.Seconds())
}

// arrivals generates requests for the keys that key returns. It is called at the moment of each
// request, and returns a negative key if there is none.
func (s *loadSim) arrivals(begin time.Time, from, to time.Duration, perSecond float64, key func() int) {
	at := from
	for perSecond > 0 {
		at += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return
		}
		heap.Push(&s.events, loadEvent{at: begin.Add(at), run: func() {
			if k := key(); k >= 0 {
				s.submit(k)
			}
		}})
	}
}

func (s *loadSim) submit(key int) {
	s.count++
	work := math.Exp(s.random.NormFloat64()*workSigma-workSigma*workSigma/2) * float64(meanWork) / (1 + longShare*(longFactor-1))
	if s.random.Float64() < longShare {
		work *= longFactor
	}
	r := &loadRequest{id: placing.AttemptID{Instance: "i", Number: s.count}, key: key, arrived: s.now, work: time.Duration(work), result: s.result}
	r.result.requests++
	s.requests[s.count] = r
	s.scheduler.Submit(s.now, placing.Attempt{AttemptID: r.id, Service: loadService, Key: key, Domain: "d",
		SoftDeadline: s.now.Add(loadTarget), Deadline: s.now.Add(loadTimeout)})
	s.deliver()
}

// deliver passes the decisions of the scheduler on.
func (s *loadSim) deliver() {
	for _, d := range s.scheduler.TakeDecisions() {
		r := s.requests[d.AttemptID.Number]
		if d.Server == "" {
			r.result.refused++
			delete(s.requests, r.id.Number)
			continue
		}
		r.assigned = s.now
		server := s.servers[d.Server]
		server.active[r.key]++
		s.after(linkTime, func() { s.arrive(server, r) })
	}
}

func (s *loadSim) arrive(server *loadServer, r *loadRequest) {
	if server.running >= server.Slots {
		server.waiting = append(server.waiting, r)
		return
	}
	s.execute(server, r)
}

func (s *loadSim) execute(server *loadServer, r *loadRequest) {
	server.running++
	duration := time.Duration(float64(r.work) / server.speed * server.noise(s.now) * server.fullFactor())
	s.after(duration, func() {
		server.running--
		if server.active[r.key]--; server.active[r.key] == 0 {
			delete(server.active, r.key)
		}
		if len(server.waiting) > 0 {
			next := server.waiting[0]
			server.waiting = server.waiting[1:]
			s.execute(server, next)
		}
		load := placing.Load{Known: true, Running: server.running, Waiting: len(server.waiting), Slots: server.Slots, SlowdownFactor: server.noise(s.now)}
		s.after(linkTime, func() { s.complete(server, r, load) })
	})
}

func (s *loadSim) complete(server *loadServer, r *loadRequest, load placing.Load) {
	delete(s.requests, r.id.Number)
	outcome := placing.Answered
	switch took := s.now.Sub(r.arrived); {
	case took <= loadTarget:
		r.result.inTime++
	case took <= loadTimeout:
		r.result.late++
	default:
		r.result.refused++
		outcome = placing.Abandoned
	}
	s.scheduler.Complete(s.now, placing.Completion{AttemptID: r.id, Server: server.Name, Outcome: outcome, Duration: s.now.Sub(r.assigned), Load: load})
	s.deliver()
}

// tick does what the holder does in each of its ticks.
func (s *loadSim) tick() {
	if s.now.Sub(s.plannedAt) >= loadPlanInterval {
		s.plan()
	}
	s.store()
	s.sendOrders()
	s.scheduler.Tick(s.now)
	s.deliver()
}

func (s *loadSim) plan() {
	s.plannedAt = s.now
	var candidates []owners.Candidate
	for _, server := range s.sorted() {
		candidates = append(candidates, owners.Candidate{Incarnation: server.Incarnation, Slots: server.Slots, Usable: !server.Leaving,
			ServiceTime: s.scheduler.ServiceTime(loadService, server.Name)})
	}
	rates := s.scheduler.KeyRates(s.now, loadService)
	began := time.Now()
	s.table.Plan(s.now, loadService, candidates, rates)
	s.planTime += time.Since(began)
	s.plans++
	for _, m := range s.table.TakeMoves() {
		s.moves = append(s.moves, m)
		s.result.moves++
		s.result.reasons[m.Reason.String()]++
		s.result.keysMoved += m.Size()
	}
}

func (s *loadSim) store() {
	if s.storing || !s.table.Dirty() || !s.table.HasUnstoredMoves() && s.now.Sub(s.storedAt) < 600*time.Millisecond {
		return
	}
	s.storing, s.storedAt = true, s.now
	table, version := s.table, s.table.PlanVersion()
	s.after(storeTime, func() {
		if table != s.table {
			return
		}
		s.storing = false
		table.MarkStored(version)
		s.sendOrders()
	})
}

func (s *loadSim) sendOrders() {
	for _, o := range s.table.TakeDueOrders(s.now, s) {
		table := s.table
		s.after(orderTime, func() { s.answer(table, o) })
	}
}

// answer ends an order. A release waits for the requests that the server has for the keys.
func (s *loadSim) answer(table *owners.Table, o owners.Order) {
	if table != s.table {
		return
	}
	server := s.servers[o.Server.Name]
	result := owners.OrderResult{Order: o, Outcome: owners.OutcomeDone, Ended: s.now}
	switch {
	case server == nil:
		result.Outcome = owners.OutcomeProcessEnded
	case o.Action == owners.ActionRelease && server.activeIn(o.From, o.To) > 0:
		if s.now.Sub(o.CreatedAt) < owners.ReleaseTimeout {
			s.after(10*time.Millisecond, func() { s.answer(table, o) })
			return
		}
		result.Outcome = owners.OutcomeNoAnswer
	}
	table.Apply(result)
	if s.resultsPending {
		return
	}
	s.resultsPending = true
	s.after(resultsDelay, func() {
		s.resultsPending = false
		s.store()
		s.sendOrders()
		s.scheduler.Tick(s.now)
		s.deliver()
	})
}

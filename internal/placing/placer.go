package placing

import (
	"math/rand/v2"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Placer decides for all services. It is not safe for concurrent use: the
// holder's goroutine owns it.
type Placer struct {
	services map[string]*service
	budget   Budget
	owners   Owners
	random   *rand.Rand
	verdicts []Verdict
	crashes  crashes
	// alone is false while another holder may place requests too.
	alone bool
}

// New returns a placer without services.
func New(budget Budget, owners Owners, random *rand.Rand) *Placer {
	return &Placer{services: map[string]*service{}, budget: budget, owners: owners, random: random, alone: true}
}

// SetAlone tells whether this placer is the only one. While another may place
// requests too, cold servers and retries, whose bounds hold for all together,
// are left to that one.
func (p *Placer) SetAlone(alone bool) {
	p.alone = alone
}

// Take returns the verdicts since the last call.
func (p *Placer) Take() []Verdict {
	out := p.verdicts
	p.verdicts = nil
	return out
}

// Update takes over the services and servers in force. out reports whether a
// server gets no new work.
func (p *Placer) Update(now time.Time, services map[string]*fleet.Service, servers []fleet.Server, out func(*fleet.Server) bool) {
	for name, s := range services {
		known := p.services[name]
		if known == nil {
			known = &service{
				servers: map[string]*server{},
				repeats: repeats{window: p.budget.Window, ratio: p.budget.Ratio, extra: p.budget.Extra},
				heat:    &Heat{},
			}
			if p.budget.Spent {
				known.repeats.spend(now)
			}
			p.services[name] = known
		}
		known.Service = s
	}
	listed := map[string]bool{}
	for _, s := range servers {
		svc := p.services[s.Service]
		if svc == nil {
			continue
		}
		listed[s.Name] = true
		old := svc.servers[s.Name]
		if old == nil || old.Life != s.Life || old.Address != s.Address {
			svc.servers[s.Name] = newServer(s)
			old = svc.servers[s.Name]
		}
		old.Server = s
		old.out = out(&s)
	}
	for _, svc := range p.services {
		for id, s := range svc.servers {
			if !listed[id] {
				s.out = true
				for _, w := range s.queue {
					svc.parked.add(w)
				}
				delete(svc.servers, id)
			}
		}
	}
	p.Tick(now)
}

// Arrive decides about one attempt, at once or later.
func (p *Placer) Arrive(now time.Time, ask Ask) {
	svc := p.services[ask.Service]
	if svc == nil || len(svc.servers) == 0 {
		p.refuse(ask.Ticket, ReasonNoServer, longestRetry)
		return
	}
	if p.crashes.refuses(now, ask.Mark) {
		p.refuse(ask.Ticket, ReasonCrashes, longestRetry)
		return
	}
	if ask.repeat() {
		if !p.alone || !svc.repeats.allow(now) {
			p.refuse(ask.Ticket, ReasonRetryBudget, shortestRetry)
			return
		}
	} else if !ask.Again {
		svc.repeats.request(now)
	}
	w := &waiting{Ask: ask, arrived: now}
	if svc.Keyed {
		p.arriveKeyed(now, svc, w)
		return
	}
	p.arriveFree(now, svc, w)
}

func (p *Placer) arriveFree(now time.Time, svc *service, w *waiting) {
	if len(svc.queue) == 0 && p.placeFree(now, svc, w) {
		return
	}
	slots := svc.slots()
	if slots == 0 {
		p.refuse(w.Ticket, ReasonNoServer, longestRetry)
		return
	}
	took := svc.typical()
	wait := took * float64(svc.queue.ahead(w.Priority)+1) / float64(slots)
	if !worthWaiting(now, w, svc.queue, wait, took, slots) {
		p.refuse(w.Ticket, ReasonOverload, seconds(wait))
		return
	}
	svc.queue.add(w)
}

func (p *Placer) arriveKeyed(now time.Time, svc *service, w *waiting) {
	if w.Key < 0 || w.Key >= Keys {
		p.refuse(w.Ticket, ReasonNoOwner, longestRetry)
		return
	}
	if !w.repeat() {
		svc.heat.Add(w.Key)
	}
	p.toOwner(now, svc, w)
}

// toOwner places the request at its key's owner, or lets it wait there.
func (p *Placer) toOwner(now time.Time, svc *service, w *waiting) {
	id, ready := p.owners.Owner(svc.Name, w.Key)
	owner := svc.servers[id]
	if !ready || owner == nil {
		svc.parked.add(w)
		return
	}
	if len(owner.queue) == 0 && p.admit(now, owner, owner.Slots, svc) {
		p.place(now, owner, w)
		return
	}
	took := owner.expected(now, svc.typical())
	ahead := float64(owner.queue.ahead(w.Priority) + 1)
	wait := took * ahead / float64(owner.Slots)
	reason := ReasonOverload
	if owner.Cold(now) && svc.ColdRate > 0 {
		wait = max(wait, ahead/svc.ColdRate)
		reason = ReasonCold
	}
	if !worthWaiting(now, w, owner.queue, wait, took, owner.Slots) {
		p.refuse(w.Ticket, reason, seconds(wait))
		return
	}
	owner.queue.add(w)
}

// worthWaiting reports whether the request should wait: it will be answered by
// its target, or late but while few others wait that are late too.
func worthWaiting(now time.Time, w *waiting, q queue, wait, took float64, slots int) bool {
	if w.onTime(now, wait+took) {
		return true
	}
	return w.possible(now, wait+took*lateMargin) && q.late(now, wait+took) < slots
}

// placeFree gives the request to the server that is likely to answer first.
func (p *Placer) placeFree(now time.Time, svc *service, w *waiting) bool {
	typical := svc.typical()
	var best *server
	var bestTime float64
	for _, avoid := range []bool{true, false} {
		for _, s := range svc.servers {
			if !s.free(now) || avoid && w.avoids(s.Name) {
				continue
			}
			if s.Cold(now) && svc.ColdRate > 0 {
				s.cold.refill(now, svc.ColdRate, coldBurst)
				if !p.alone || s.cold.tokens < 1 {
					continue
				}
			}
			t := p.timeAt(now, s, w, typical)
			if best == nil || t < bestTime {
				best, bestTime = s, t
			}
		}
		if best != nil || !w.repeat() {
			break
		}
	}
	if best == nil || !p.admit(now, best, best.Slots, svc) {
		return false
	}
	p.place(now, best, w)
	return true
}

// admit takes a slot of the server, and a token while it is cold.
func (p *Placer) admit(now time.Time, s *server, limit int, svc *service) bool {
	if !p.alone && s.Cold(now) && svc.ColdRate > 0 {
		return false
	}
	return s.admit(now, limit, svc.ColdRate)
}

// timeAt estimates the time to an answer; a small random part spreads equal servers.
func (p *Placer) timeAt(now time.Time, s *server, w *waiting, typical float64) float64 {
	t := s.expected(now, typical)
	t *= 1 + 0.1*float64(len(s.running)) + 0.02*p.random.Float64()
	if s.Domain != w.Domain {
		t += crossDomain.Seconds()
		if w.Large {
			t += crossDomainLarge.Seconds()
		}
	}
	return t
}

func (a *Ask) avoids(server string) bool {
	for _, s := range a.Avoid {
		if s == server {
			return true
		}
	}
	return false
}

func (p *Placer) place(now time.Time, s *server, w *waiting) {
	s.running[w.Ticket] = w.Deadline
	p.verdicts = append(p.verdicts, Verdict{Ticket: w.Ticket, Server: s.Name})
}

func (p *Placer) refuse(t Ticket, reason Reason, after time.Duration) {
	p.verdicts = append(p.verdicts, Verdict{Ticket: t, Reason: reason, RetryAfter: min(max(after, shortestRetry), longestRetry)})
}

// Finish takes note of the end of an attempt and gives its slot to the next request.
func (p *Placer) Finish(now time.Time, f Finish) {
	p.crashes.note(now, f)
	for _, svc := range p.services {
		s := svc.servers[f.Server]
		if s == nil {
			continue
		}
		s.finished(now, f)
		if f.Outcome == Answered {
			svc.learn(f.Took)
		}
		p.fill(now, svc, s)
		return
	}
}

// Withdraw forgets a request that waits no more.
func (p *Placer) Withdraw(t Ticket) {
	keep := func(w *waiting) bool { return w.Ticket != t }
	for _, svc := range p.services {
		svc.queue.keep(keep)
		svc.parked.keep(keep)
		for _, s := range svc.servers {
			s.queue.keep(keep)
		}
	}
}

// fill gives free slots to requests that wait.
func (p *Placer) fill(now time.Time, svc *service, s *server) {
	for len(s.queue) > 0 && p.admit(now, s, s.Slots+ahead, svc) {
		i := s.queue.next(now, s.expected(now, svc.typical()))
		w := s.queue[i]
		s.queue.remove(i)
		p.place(now, s, w)
	}
	for len(svc.queue) > 0 {
		i := svc.queue.next(now, svc.typical())
		if !p.placeFree(now, svc, svc.queue[i]) {
			return
		}
		svc.queue.remove(i)
	}
}

// Tick refuses what can no longer be served in time and uses what has become free.
func (p *Placer) Tick(now time.Time) {
	for _, svc := range p.services {
		p.expire(now, svc)
		parked := svc.parked
		svc.parked = nil
		for _, w := range parked {
			p.toOwner(now, svc, w)
		}
		for _, s := range svc.servers {
			p.rehome(now, svc, s)
			for t, deadline := range s.running {
				if now.After(deadline.Add(time.Second)) {
					delete(s.running, t) // its instance is gone
				}
			}
			p.fill(now, svc, s)
		}
	}
}

// rehome moves requests whose key has changed its owner.
func (p *Placer) rehome(now time.Time, svc *service, s *server) {
	var moved queue
	s.queue.keep(func(w *waiting) bool {
		if id, ready := p.owners.Owner(svc.Name, w.Key); !ready || id != s.Name {
			moved = append(moved, w)
			return false
		}
		return true
	})
	for _, w := range moved {
		p.toOwner(now, svc, w)
	}
}

func (p *Placer) expire(now time.Time, svc *service) {
	took := svc.typical()
	late := func(reason Reason) func(*waiting) bool {
		return func(w *waiting) bool {
			if w.possible(now, took*lateMargin) {
				return true
			}
			p.refuse(w.Ticket, reason, seconds(took))
			return false
		}
	}
	svc.queue.keep(late(ReasonOverload))
	svc.parked.keep(late(ReasonNoOwner))
	for _, s := range svc.servers {
		s.queue.keep(late(ReasonOverload))
	}
}

// Heat returns the request rates of a service's keys as of now, or nil.
func (p *Placer) Heat(now time.Time, name string) *Heat {
	svc := p.services[name]
	if svc == nil {
		return nil
	}
	svc.heat.Decay(now)
	return svc.heat
}

// Running returns how many requests are under way at a server.
func (p *Placer) Running(name, id string) int {
	if svc := p.services[name]; svc != nil && svc.servers[id] != nil {
		return len(svc.servers[id].running)
	}
	return 0
}

// Took returns the usual service time of a server in seconds.
func (p *Placer) Took(name, id string) float64 {
	svc := p.services[name]
	if svc == nil {
		return defaultTook.Seconds()
	}
	if s := svc.servers[id]; s != nil && s.speed > 0 {
		return max(s.speed, s.took/2) // a server that has become slow shows soon
	}
	return svc.typical()
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func (s *service) typical() float64 {
	if s.took == 0 {
		return defaultTook.Seconds()
	}
	return s.took
}

func (s *service) learn(took time.Duration) {
	if s.took == 0 {
		s.took = took.Seconds()
		return
	}
	s.took += tookWeight * (took.Seconds() - s.took)
}

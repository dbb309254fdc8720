package placing

import (
	"math/rand/v2"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Scheduler decides for all services. It is not safe for concurrent use: the
// holder's goroutine owns it.
type Scheduler struct {
	services map[string]*service
	budget   RetryBudget
	owners   Owners
	random   *rand.Rand
	verdicts []Decision
	crashes  crashes
	// alone is false while another holder may place requests too.
	alone bool
}

// New returns a placer without services.
func New(budget RetryBudget, owners Owners, random *rand.Rand) *Scheduler {
	return &Scheduler{services: map[string]*service{}, budget: budget, owners: owners, random: random, alone: true}
}

// SetExclusive tells whether this placer is the only one. While another may place
// requests too, cold servers and retries, whose bounds hold for all together,
// are left to that one.
func (p *Scheduler) SetExclusive(alone bool) {
	p.alone = alone
}

// TakeDecisions returns the verdicts since the last call.
func (p *Scheduler) TakeDecisions() []Decision {
	out := p.verdicts
	p.verdicts = nil
	return out
}

// Update takes over the services and servers in force. out reports whether a
// server gets no new work.
func (p *Scheduler) Update(now time.Time, services map[string]*fleet.Service, servers []fleet.Server, out func(*fleet.Server) bool) {
	for name, s := range services {
		known := p.services[name]
		if known == nil {
			known = &service{
				servers: map[string]*server{},
				repeats: repeats{window: p.budget.Window, ratio: p.budget.Ratio, extra: p.budget.Extra},
				heat:    &KeyRates{},
			}
			if p.budget.AssumeSpent {
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

// ReportColdStart takes note of a cold start that the server itself has told of. It
// returns false when that is no news.
func (p *Scheduler) ReportColdStart(service string, life fleet.Life, until time.Time) bool {
	svc := p.services[service]
	if svc == nil || svc.servers[life.Name] == nil || svc.servers[life.Name].Life != life {
		return false
	}
	s := svc.servers[life.Name]
	news := until.Sub(s.coldUntil) > minColdStartChange
	s.coldUntil = until
	return news
}

// Capacity returns how many requests/s the server runs when all its slots are in use,
// or 0 if it is not known or cold already.
func (p *Scheduler) Capacity(now time.Time, server *fleet.Server) float64 {
	svc := p.services[server.Service]
	if svc == nil || svc.servers[server.Name] == nil || svc.servers[server.Name].Cold(now) {
		return 0
	}
	return float64(server.Slots) / svc.servers[server.Name].expected(now, svc.typical())
}

// Submit decides about one attempt, at once or later.
func (p *Scheduler) Submit(now time.Time, ask Attempt) {
	svc := p.services[ask.Service]
	if svc == nil || len(svc.servers) == 0 {
		p.refuse(ask.ID, ReasonNoServer, maxRetryAfter)
		return
	}
	if p.crashes.refuses(now, ask.ContentHash) {
		p.refuse(ask.ID, ReasonCrashes, maxRetryAfter)
		return
	}
	if ask.repeat() {
		if !p.alone || !svc.repeats.allow(now) {
			p.refuse(ask.ID, ReasonRetryBudget, minRetryAfter)
			return
		}
	} else if !ask.Resubmitted {
		svc.repeats.request(now)
	}
	w := &waiting{Attempt: ask}
	if svc.Keyed {
		p.arriveKeyed(now, svc, w)
		return
	}
	p.arriveFree(now, svc, w)
}

func (p *Scheduler) arriveFree(now time.Time, svc *service, w *waiting) {
	if len(svc.queue) == 0 && p.placeFree(now, svc, w) {
		return
	}
	slots := svc.slots()
	if slots == 0 {
		p.refuse(w.ID, ReasonNoServer, maxRetryAfter)
		return
	}
	took := svc.typical()
	wait := took * float64(svc.queue.ahead(w.Priority)+1) / float64(slots)
	if !worthWaiting(now, w, svc.queue, wait, took, slots) {
		p.refuse(w.ID, ReasonOverload, seconds(wait))
		return
	}
	svc.queue.add(w)
}

func (p *Scheduler) arriveKeyed(now time.Time, svc *service, w *waiting) {
	if w.Key < 0 || w.Key >= NumKeys {
		p.refuse(w.ID, ReasonNoOwner, maxRetryAfter)
		return
	}
	if !w.repeat() {
		svc.heat.Add(w.Key)
	}
	p.toOwner(now, svc, w)
}

// toOwner places the request at its key's owner, or lets it wait there.
func (p *Scheduler) toOwner(now time.Time, svc *service, w *waiting) {
	id, ready := p.owners.Owner(svc.Name, w.Key)
	owner := svc.servers[id]
	if !ready || owner == nil {
		if at := p.owners.ServedAgainBy(svc.Name, w.Key); !at.IsZero() && !w.possible(now, at.Sub(now).Seconds()+svc.typical()) {
			p.refuse(w.ID, ReasonNoOwner, at.Sub(now))
			return
		}
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
		p.refuse(w.ID, reason, seconds(wait))
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
	return w.possible(now, wait+took*deadlineMargin) && q.late(now, wait+took) < slots
}

func (p *Scheduler) place(now time.Time, s *server, w *waiting) {
	s.running[w.ID] = w.Deadline
	p.verdicts = append(p.verdicts, Decision{AttemptID: w.ID, Server: s.Name})
}

func (p *Scheduler) refuse(t AttemptID, reason Reason, after time.Duration) {
	p.verdicts = append(p.verdicts, Decision{AttemptID: t, Reason: reason, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter)})
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

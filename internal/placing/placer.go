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
	decisions []Decision
	crashes  crashTracker
	// exclusive is false while another holder may place requests too.
	exclusive bool
}

// New returns a placer without services.
func New(budget RetryBudget, owners Owners, random *rand.Rand) *Scheduler {
	return &Scheduler{services: map[string]*service{}, budget: budget, owners: owners, random: random, exclusive: true}
}

// SetExclusive tells whether this placer is the only one. While another may place
// requests too, cold servers and retries, whose bounds hold for all together,
// are left to that one.
func (p *Scheduler) SetExclusive(alone bool) {
	p.exclusive = alone
}

// TakeDecisions returns the verdicts since the last call.
func (p *Scheduler) TakeDecisions() []Decision {
	out := p.decisions
	p.decisions = nil
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
				retries: retryLimiter{window: p.budget.Window, ratio: p.budget.Ratio, extra: p.budget.Extra},
				keyRates:    &KeyRates{},
			}
			if p.budget.AssumeSpent {
				known.retries.assumeExtraSpent(now)
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
		old.excluded = out(&s)
	}
	for _, svc := range p.services {
		for id, s := range svc.servers {
			if !listed[id] {
				s.excluded = true
				for _, w := range s.queue {
					svc.unownedQueue.insert(w)
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
	news := until.Sub(s.reportedColdUntil) > minColdStartChange
	s.reportedColdUntil = until
	return news
}

// Capacity returns how many requests/s the server runs when all its slots are in use,
// or 0 if it is not known or cold already.
func (p *Scheduler) Capacity(now time.Time, server *fleet.Server) float64 {
	svc := p.services[server.Service]
	if svc == nil || svc.servers[server.Name] == nil || svc.servers[server.Name].Cold(now) {
		return 0
	}
	return float64(server.Slots) / svc.servers[server.Name].expectedServiceTime(now, svc.typicalServiceTime())
}

// Submit decides about one attempt, at once or later.
func (p *Scheduler) Submit(now time.Time, ask Attempt) {
	svc := p.services[ask.Service]
	if svc == nil || len(svc.servers) == 0 {
		p.refuse(ask.ID, ReasonNoServer, maxRetryAfter)
		return
	}
	if p.crashes.blocks(now, ask.ContentHash) {
		p.refuse(ask.ID, ReasonCrashes, maxRetryAfter)
		return
	}
	if ask.isRetry() {
		if !p.exclusive || !svc.retries.tryRetry(now) {
			p.refuse(ask.ID, ReasonRetryBudget, minRetryAfter)
			return
		}
	} else if !ask.Resubmitted {
		svc.retries.countRequest(now)
	}
	w := &queuedAttempt{Attempt: ask}
	if svc.Keyed {
		p.submitKeyed(now, svc, w)
		return
	}
	p.submitUnkeyed(now, svc, w)
}

func (p *Scheduler) submitUnkeyed(now time.Time, svc *service, w *queuedAttempt) {
	if len(svc.queue) == 0 && p.assignToBestServer(now, svc, w) {
		return
	}
	slots := svc.usableSlots()
	if slots == 0 {
		p.refuse(w.ID, ReasonNoServer, maxRetryAfter)
		return
	}
	took := svc.typicalServiceTime()
	wait := took * float64(svc.queue.countAhead(w.Priority)+1) / float64(slots)
	if !worthQueuing(now, w, svc.queue, wait, took, slots) {
		p.refuse(w.ID, ReasonOverload, seconds(wait))
		return
	}
	svc.queue.insert(w)
}

func (p *Scheduler) submitKeyed(now time.Time, svc *service, w *queuedAttempt) {
	if w.Key < 0 || w.Key >= NumKeys {
		p.refuse(w.ID, ReasonNoOwner, maxRetryAfter)
		return
	}
	if !w.isRetry() {
		svc.keyRates.Add(w.Key)
	}
	p.routeToOwner(now, svc, w)
}

// routeToOwner places the request at its key's owner, or lets it wait there.
func (p *Scheduler) routeToOwner(now time.Time, svc *service, w *queuedAttempt) {
	id, ready := p.owners.Owner(svc.Name, w.Key)
	owner := svc.servers[id]
	if !ready || owner == nil {
		if at := p.owners.ServedAgainBy(svc.Name, w.Key); !at.IsZero() && !w.meetsDeadline(now, at.Sub(now).Seconds()+svc.typicalServiceTime()) {
			p.refuse(w.ID, ReasonNoOwner, at.Sub(now))
			return
		}
		svc.unownedQueue.insert(w)
		return
	}
	if len(owner.queue) == 0 && p.tryAdmit(now, owner, owner.Slots, svc) {
		p.assign(now, owner, w)
		return
	}
	took := owner.expectedServiceTime(now, svc.typicalServiceTime())
	ahead := float64(owner.queue.countAhead(w.Priority) + 1)
	wait := took * ahead / float64(owner.Slots)
	reason := ReasonOverload
	if owner.Cold(now) && svc.ColdRate > 0 {
		wait = max(wait, ahead/svc.ColdRate)
		reason = ReasonCold
	}
	if !worthQueuing(now, w, owner.queue, wait, took, owner.Slots) {
		p.refuse(w.ID, reason, seconds(wait))
		return
	}
	owner.queue.insert(w)
}

// worthQueuing reports whether the request should wait: it will be answered by
// its target, or late but while few others wait that are late too.
func worthQueuing(now time.Time, w *queuedAttempt, q queue, wait, took float64, slots int) bool {
	if w.meetsSoftDeadline(now, wait+took) {
		return true
	}
	return w.meetsDeadline(now, wait+took*deadlineMargin) && q.countLate(now, wait+took) < slots
}

func (p *Scheduler) assign(now time.Time, s *server, w *queuedAttempt) {
	s.inFlight[w.ID] = w.Deadline
	p.decisions = append(p.decisions, Decision{AttemptID: w.ID, Server: s.Name})
}

func (p *Scheduler) refuse(t AttemptID, reason Reason, after time.Duration) {
	p.decisions = append(p.decisions, Decision{AttemptID: t, Reason: reason, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter)})
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

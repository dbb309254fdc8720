package placing

import (
	"math/rand/v2"
	"time"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/crashes"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/hedge"
	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// Scheduler assigns the attempts of all services to servers. It is not safe for
// concurrent use: one goroutine of the holder owns it.
type Scheduler struct {
	services  map[string]*service
	budget    RetryBudget
	owners    Owners
	random    *rand.Rand
	decisions []Decision
	crashes   *crashes.Memory
	// share is the share of the limits that servers name which this scheduler may use.
	share float64
	// exclusive is set while this scheduler alone assigns requests to cold servers and
	// allows retries.
	exclusive bool
	// limitOf returns the rate limit that a server names.
	limitOf func(fleet.Incarnation) backpressure.Limit
	// inheritedTimes holds the service times that an earlier scheduler has learned.
	inheritedTimes fleet.RelativeTimes
	// ledger keeps the usage caps of teams, or is nil if no team has one.
	ledger *usagecap.Ledger
}

// New returns a scheduler without services.
func New(budget RetryBudget, owners Owners, random *rand.Rand) *Scheduler {
	return &Scheduler{services: map[string]*service{}, budget: budget, owners: owners, random: random, crashes: crashes.NewMemory(), share: 1, exclusive: true, limitOf: noLimit}
}

// UseCrashes makes the scheduler use the memory of crashes of its instance, which outlives
// the scheduler.
func (sched *Scheduler) UseCrashes(m *crashes.Memory) {
	sched.crashes = m
}

// TakeDecisions returns the decisions made since the last call.
func (sched *Scheduler) TakeDecisions() []Decision {
	out := sched.decisions
	sched.decisions = nil
	return out
}

// Update replaces the services and servers. exclude reports whether a server gets
// no new work.
func (sched *Scheduler) Update(now time.Time, services map[string]*fleet.Service, servers []fleet.Server, exclude func(*fleet.Server) bool) {
	sched.updateServices(now, services)
	listed := sched.updateServers(servers, exclude)
	for _, svc := range sched.services {
		for _, s := range svc.servers {
			if !listed[s] {
				svc.remove(s)
			}
		}
	}
	sched.listServers()
	sched.Tick(now)
}

// updateServices adds the services that are new and replaces the settings of the others.
func (sched *Scheduler) updateServices(now time.Time, services map[string]*fleet.Service) {
	for name, s := range services {
		known := sched.services[name]
		if known == nil {
			known = &service{
				servers:  map[string]*server{},
				retries:  retryLimiter{window: sched.budget.Window, ratio: sched.budget.Ratio, extra: sched.budget.Extra},
				hedges:   hedge.NewLimit(sched.budget.Window, sched.budget.HedgeShare),
				keyRates: &KeyRates{},
			}
			if sched.budget.AssumeSpent {
				known.retries.assumeExtraSpent(now)
				known.hedges.Block(now)
			}
			sched.services[name] = known
		}
		known.Service = s
	}
}

// updateServers adds the servers that are new or restarted, updates the others, and returns
// all that are listed.
func (sched *Scheduler) updateServers(servers []fleet.Server, exclude func(*fleet.Server) bool) map[*server]bool {
	listed := map[*server]bool{}
	for _, s := range servers {
		svc := sched.services[s.Service]
		if svc == nil {
			continue
		}
		known := svc.servers[s.Name]
		if known == nil || known.Incarnation != s.Incarnation || known.Address != s.Address {
			inherited := sched.inheritedTimes.Of(s.Service, s.Name)
			if known != nil {
				inherited = svc.relativeTime(known)
				svc.remove(known)
			}
			known = newServer(s)
			known.inheritedTime = inherited
			known.limit = sched.limitOf(s.Incarnation)
			svc.servers[s.Name] = known
		}
		listed[known] = true
		known.Server = s
		known.Slots = svc.UsableSlots(s.Slots)
		known.excluded = exclude(&s)
	}
	return listed
}

// ReportColdStart records the end of a cold start that the server itself has
// reported. It returns true when that is clearly later than reported before.
func (sched *Scheduler) ReportColdStart(service string, incarnation fleet.Incarnation, until time.Time) bool {
	svc := sched.services[service]
	if svc == nil || svc.servers[incarnation.Name] == nil || svc.servers[incarnation.Name].Incarnation != incarnation {
		return false
	}
	s := svc.servers[incarnation.Name]
	changed := until.Sub(s.reportedColdUntil) > minColdStartChange
	s.reportedColdUntil = until
	return changed
}

// Capacity returns the throughput of the server in requests/s when all its slots
// are in use and it names no lower limit, or 0 if it is unknown or already cold.
func (sched *Scheduler) Capacity(now time.Time, server *fleet.Server) float64 {
	svc := sched.services[server.Service]
	if svc == nil || svc.servers[server.Name] == nil || svc.servers[server.Name].Cold(now) {
		return 0
	}
	s := svc.servers[server.Name]
	return s.limit.Cap(float64(s.Slots) / s.expectedServiceTime(now, svc.typicalServiceTime()))
}

// Submit assigns, queues or refuses one attempt. The decision comes from
// TakeDecisions, now or after a later call.
func (sched *Scheduler) Submit(now time.Time, attempt Attempt) {
	svc := sched.services[attempt.Service]
	if svc == nil || len(svc.servers) == 0 {
		sched.refuse(&attempt, ReasonNoServer, maxRetryAfter)
		return
	}
	if sched.crashes.Blocks(now, attempt.ContentHash) {
		sched.refuse(&attempt, ReasonCrashes, maxRetryAfter)
		return
	}
	if sched.ledger != nil && attempt.Team != "" && !sched.reserveForTeam(now, &attempt) {
		return
	}
	if attempt.Hedge {
		sched.submitHedge(now, svc, &queuedAttempt{Attempt: attempt})
		return
	}
	if attempt.isRetry() {
		if !sched.exclusive || !svc.retries.tryRetry(now) {
			sched.refuse(&attempt, ReasonRetryBudget, minRetryAfter)
			return
		}
	} else if !attempt.Resubmitted {
		svc.retries.countRequest(now)
		svc.hedges.CountRequest(now)
	}
	w := &queuedAttempt{Attempt: attempt}
	if svc.Keyed {
		sched.submitKeyed(now, svc, w)
		return
	}
	sched.submitUnkeyed(now, svc, w)
}

func (sched *Scheduler) submitUnkeyed(now time.Time, svc *service, w *queuedAttempt) {
	recogniseReturn(now, svc, &svc.returns, w)
	if svc.nextQueued(now) < 0 && sched.assignToBestServer(now, svc, w) {
		return
	}
	if pause, beyond := svc.pausedBeyondDeadline(now, w); beyond {
		sched.refuse(&w.Attempt, ReasonPaused, pause)
		return
	}
	slots := svc.usableSlots()
	if slots == 0 {
		sched.refuse(&w.Attempt, ReasonNoServer, maxRetryAfter)
		return
	}
	serviceTime := svc.typicalServiceTime()
	throughput, reason := sched.throughput(svc, serviceTime)
	wait := svc.returns.waitBehind(now, w, &svc.queue, 1/throughput)
	if !worthQueuing(now, w, &svc.queue, wait, svc.slowestServiceTime(), slots) {
		sched.refuseUntilPlace(now, svc, &svc.returns, w, reason, wait, 1/throughput)
		return
	}
	if svc.queue.insert(w) {
		sched.refuseOvertaken(now, svc, &svc.queue, &svc.returns, reason, serviceTime, 1/throughput, slots)
	}
}

func (sched *Scheduler) submitKeyed(now time.Time, svc *service, w *queuedAttempt) {
	if w.Key < 0 || w.Key >= NumKeys {
		sched.refuse(&w.Attempt, ReasonNoOwner, maxRetryAfter)
		return
	}
	if !w.isRetry() {
		svc.keyRates.Add(w.Key)
	}
	sched.routeToOwner(now, svc, w)
}

// routeToOwner assigns the attempt to the owner of its key, queues it there, or
// refuses it. While the key has no owner, the attempt waits for one.
func (sched *Scheduler) routeToOwner(now time.Time, svc *service, w *queuedAttempt) {
	id, ready := sched.owners.Owner(svc.Name, w.Key)
	owner := svc.servers[id]
	if !ready || owner == nil {
		if at := sched.owners.ServedAgainBy(svc.Name, w.Key); !at.IsZero() && !w.meetsDeadline(now, at.Sub(now).Seconds()+svc.typicalServiceTime()) {
			sched.refuse(&w.Attempt, ReasonNoOwner, at.Sub(now))
			return
		}
		svc.unownedQueue.insert(w)
		return
	}
	recogniseReturn(now, svc, &owner.returns, w)
	pause := owner.pausedFor(now, w)
	if pause == 0 && owner.nextQueued(now, svc) < 0 && sched.tryAdmit(now, owner, owner.Slots, svc) {
		sched.assign(now, owner, w)
		return
	}
	serviceTime := owner.expectedServiceTime(now, svc.typicalServiceTime())
	perPlace, reason := serviceTime/float64(owner.Slots), ReasonOverload
	if limit, limited := sched.rateLimit(now, owner, svc); limited && 1/limit.perSecond > perPlace {
		perPlace, reason = 1/limit.perSecond, limit.reason
	}
	wait := owner.returns.waitBehind(now, w, &owner.queue, perPlace)
	if pause.Seconds() > wait {
		wait, reason = pause.Seconds(), ReasonPaused
	}
	if !worthQueuing(now, w, &owner.queue, wait, serviceTime, owner.Slots) {
		sched.refuseUntilPlace(now, svc, &owner.returns, w, reason, wait, perPlace)
		return
	}
	if owner.queue.insert(w) {
		sched.refuseOvertaken(now, svc, &owner.queue, &owner.returns, reason, serviceTime, perPlace, owner.Slots)
	}
}

// worthQueuing reports whether the attempt should be queued: it will end before its
// soft deadline, or at least before its deadline while fewer queued attempts than
// slots are late as well.
func worthQueuing(now time.Time, w *queuedAttempt, q *queue, wait, serviceTime float64, slots int) bool {
	if w.meetsSoftDeadline(now, wait+serviceTime) {
		return true
	}
	return w.meetsDeadline(now, wait+serviceTime*deadlineMargin) && q.countLate(now, wait+serviceTime) < slots
}

func (sched *Scheduler) assign(now time.Time, s *server, w *queuedAttempt) {
	s.inFlight[w.AttemptID] = w.Deadline
	sched.decisions = append(sched.decisions, Decision{AttemptID: w.AttemptID, Server: s.Name, HeardAt: s.heardAt, Allowance: sched.takeForTeam(now, w)})
}

func (sched *Scheduler) refuse(attempt *Attempt, reason Reason, retryAfter time.Duration) {
	sched.refuseWithDelay(attempt, reason, min(max(retryAfter, minRetryAfter), maxRetryAfter))
}

// refuseWithDelay refuses the attempt with exactly this retry delay.
func (sched *Scheduler) refuseWithDelay(attempt *Attempt, reason Reason, retryAfter time.Duration) {
	sched.decisions = append(sched.decisions, Decision{AttemptID: attempt.AttemptID, Reason: reason, RetryAfter: retryAfter, Allowance: sched.releaseForTeam(attempt)})
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

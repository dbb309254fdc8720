package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// SchedulerClient obtains a server for each attempt: from the scheduler at the
// holder, or from the local scheduler while the holder is silent. It is safe for
// concurrent use.
type SchedulerClient struct {
	instance   string
	registry   *facts.Registry
	local      *localScheduler
	prober     fleet.Prober
	link       atomic.Pointer[activeLink]
	lastNumber atomic.Uint64
	pending    sync.Map // attempt number to *pendingAttempt
	// holderStatus is nil until the first link to a holder.
	holderStatus atomic.Pointer[holderStatus]
}

// NewSchedulerClient returns a client without a link to a holder.
func NewSchedulerClient(instance, domain string, registry *facts.Registry, prober fleet.Prober) *SchedulerClient {
	c := &SchedulerClient{instance: instance, registry: registry, prober: prober}
	c.local = newLocalScheduler(domain, registry, c.FleetSize)
	return c
}

// Attach uses the link to the holder until it ends.
func (c *SchedulerClient) Attach(l link.Link) {
	now := time.Now()
	c.holderStatus.Store(&holderStatus{heardAt: now, instances: c.FleetSize(), maxProcessorShare: c.MaxProcessorShare()})
	c.link.Store(&activeLink{Link: l})
	states, losses := link.EncodeBackpressure(c.registry.Snapshot().Backpressure, now), link.EncodeLosses(c.registry.Crashes().All(now), now)
	allowed := link.EncodeHoldings(c.local.teams.holdings(now, teamsOf(c.registry.Snapshot())))
	if len(states) > 0 || len(losses) > 0 || len(allowed) > 0 {
		l.Send(&linkpb.Up{Backpressure: states, Losses: losses, Allowed: allowed}) // if the link has ended, the next one is told
	}
}

// SilentFor returns how long the holder has been silent.
func (c *SchedulerClient) SilentFor(now time.Time) time.Duration {
	h := c.holderStatus.Load()
	if h == nil {
		return 0
	}
	return now.Sub(h.heardAt)
}

// FleetSize returns how many instances followed the holder as of its last message.
func (c *SchedulerClient) FleetSize() int {
	if h := c.holderStatus.Load(); h != nil {
		return h.instances
	}
	return 0
}

// MaxProcessorShare returns the largest processor share of the instances that followed the
// holder, or 0 if it is unknown.
func (c *SchedulerClient) MaxProcessorShare() float64 {
	if h := c.holderStatus.Load(); h != nil {
		return h.maxProcessorShare
	}
	return 0
}

// NewReceiver returns the receiver of the facts of one link, and a handler that must be
// called with each message of the link in order. The handler does not block.
func (c *SchedulerClient) NewReceiver() (*link.FactsReceiver, func(*linkpb.Down)) {
	receiver := link.NewFactsReceiver(c.registry)
	return receiver, func(down *linkpb.Down) { c.handleDown(receiver, down) }
}

func (c *SchedulerClient) handleDown(receiver *link.FactsReceiver, down *linkpb.Down) {
	now := time.Now()
	link.MergeLosses(c.registry.Crashes(), down.Losses, now)
	for i, update := range down.Facts {
		readAt := time.Time{}
		if i == len(down.Facts)-1 { // the time of reading is that of the last facts
			readAt = receiver.DecodeTime(down.ReadUs)
		}
		status := holderStatus{heardAt: now, instances: int(update.Instances), maxProcessorShare: update.Strongest}
		if update.Instances == 0 { // a part of a listing
			status.instances, status.maxProcessorShare = c.FleetSize(), c.MaxProcessorShare()
		}
		c.holderStatus.Store(&status)
		receiver.Apply(update, readAt, now)
	}
	if h := c.holderStatus.Load(); h != nil && len(down.Facts) == 0 {
		c.holderStatus.Store(&holderStatus{heardAt: now, instances: h.instances, maxProcessorShare: h.maxProcessorShare})
	}
	for _, number := range down.Waiting {
		if p, ok := c.pending.Load(number); ok {
			p.(*pendingAttempt).queued.Store(true)
		}
	}
	for _, v := range down.Verdicts {
		decision := link.DecodeVerdict(v, c.instance, receiver)
		if p, ok := c.pending.LoadAndDelete(v.Number); ok {
			if team := p.(*pendingAttempt).team; team != "" {
				c.local.teams.tell(now, teamsOf(c.registry.Snapshot()), team, decision.Allowance)
			}
			p.(*pendingAttempt).decision <- decision
		} else if decision.Server != "" {
			c.report(placing.Completion{AttemptID: decision.AttemptID, Server: decision.Server, Outcome: placing.Unused})
		}
	}
}

// Place sets the ID of the attempt and returns the decision on it.
func (c *SchedulerClient) Place(ctx context.Context, attempt placing.Attempt) placing.Decision {
	now := time.Now()
	number := c.lastNumber.Add(1)
	attempt.AttemptID = placing.AttemptID{Instance: c.instance, Number: number}
	l := c.usableLink(now)
	if l == nil {
		return c.placeLocally(ctx, attempt)
	}
	p := &pendingAttempt{decision: make(chan placing.Decision, 1), team: attempt.Team}
	c.pending.Store(number, p)
	if !l.Send(&linkpb.Up{Asks: []*linkpb.Ask{link.EncodeAsk(attempt, now)}}) {
		c.pending.Delete(number)
		return c.placeLocally(ctx, attempt)
	}
	return c.await(ctx, l, p, attempt)
}

// usableLink returns the link to the holder, or nil if attempts are placed locally at now.
func (c *SchedulerClient) usableLink(now time.Time) *activeLink {
	if l := c.link.Load(); l != nil && !l.unavailable(now) {
		return l
	}
	return nil
}

// await waits for the holder's decision. It falls back to the local scheduler when
// the link ends, the holder does not acknowledge the attempt in time, or falls silent.
func (c *SchedulerClient) await(ctx context.Context, l *activeLink, p *pendingAttempt, attempt placing.Attempt) placing.Decision {
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	for {
		select {
		case d := <-p.decision:
			return d
		case <-l.Done():
			return c.cancel(ctx, l, p, attempt, true)
		case <-ctx.Done():
			return c.cancel(ctx, l, p, attempt, false)
		case <-timer.C:
			if !p.queued.Load() {
				l.setBackoff(time.Now().Add(holderBackoff))
				return c.cancel(ctx, l, p, attempt, true)
			}
			timer.Reset(ackTimeout)
			if silent := c.SilentFor(time.Now()); silent > link.HeartbeatTimeout {
				return c.cancel(ctx, l, p, attempt, true)
			}
		}
	}
}

// cancel stops waiting for the holder's decision, and returns one that has arrived
// in the meantime. Otherwise it places the attempt locally or refuses it.
func (c *SchedulerClient) cancel(ctx context.Context, l *activeLink, p *pendingAttempt, attempt placing.Attempt, placeLocally bool) placing.Decision {
	if _, waiting := c.pending.LoadAndDelete(attempt.AttemptID.Number); !waiting {
		return <-p.decision
	}
	l.Send(&linkpb.Up{Withdrawn: []uint64{attempt.AttemptID.Number}}) // may fail: when the link has ended, there is nothing to withdraw
	if placeLocally {
		return c.placeLocally(ctx, attempt)
	}
	return placing.Decision{AttemptID: attempt.AttemptID, Reason: placing.ReasonOverload, RetryAfter: defaultRetryAfter}
}

// placeLocally decides without the holder. While the store, which announces cold
// starts, is unreachable too, it checks the health of the server first and refuses
// the attempt if the server is cold: the request rate of a cold server is limited
// over all instances, and no instance knows what the others send.
func (c *SchedulerClient) placeLocally(ctx context.Context, attempt placing.Attempt) placing.Decision {
	now := time.Now()
	decision := c.local.place(now, attempt)
	if age, known := c.registry.Age(now); decision.Server == "" || known && age < maxStoreAge {
		return decision
	}
	snapshot := c.registry.Snapshot()
	server, service := snapshot.Server(decision.Server), snapshot.Config.Services[attempt.Service]
	if server == nil || service == nil || service.HealthPath == "" || service.ColdRate == 0 {
		return decision
	}
	probeCtx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	askedAt := time.Now()
	health, err := c.prober.Health(probeCtx, *server, service.HealthPath)
	answered := err == nil && health.Server == server.Name
	if answered && health.Serving {
		decision.HeardAt = askedAt // so that the server is not asked again before the attempt
	}
	if !answered || health.ColdRemaining == 0 {
		return decision // if the server does not answer, the attempt itself will fail
	}
	c.local.complete(now, placing.Completion{AttemptID: attempt.AttemptID, Outcome: placing.Unused})
	return placing.Decision{AttemptID: attempt.AttemptID, Reason: placing.ReasonCold, RetryAfter: holderBackoff}
}

// ObserveSignal records what a server asks of the fleet in a response, and tells the
// holder if that is new.
func (c *SchedulerClient) ObserveSignal(server fleet.Incarnation, signal backpressure.Signal) {
	if c.registry.ObserveSignal(server, signal, time.Now()) {
		c.ReportState(server)
	}
}

// ReportState tells the holder what a server asks, if it asks anything.
func (c *SchedulerClient) ReportState(server fleet.Incarnation) {
	state := c.registry.Snapshot().Backpressure.Of(server)
	if l := c.link.Load(); l != nil && state != (backpressure.State{}) {
		// If this fails, the holder is told when it assigns an attempt against it, or by the next link.
		l.Send(&linkpb.Up{Backpressure: []*linkpb.ServerState{link.EncodeServerState(server, state, time.Now())}})
	}
}

// Complete reports the end of an attempt.
func (c *SchedulerClient) Complete(completion placing.Completion) {
	now := time.Now()
	completion.Team = c.local.complete(now, completion)
	placing.RecordCrash(c.registry.Crashes(), now, completion)
	c.report(completion)
}

// report sends a completion to the holder. A decision that comes too late to be used is only
// reported: the attempt may have been placed locally since, under the same number.
func (c *SchedulerClient) report(completion placing.Completion) {
	if l := c.link.Load(); l != nil {
		l.Send(&linkpb.Up{Finishes: []*linkpb.Finish{link.EncodeFinish(completion, l)}}) // if this fails, the holder frees the slot after the deadline
	}
}

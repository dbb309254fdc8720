package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Gateway processes calls. It is safe for concurrent use: on the path of a call it
// reads only immutable snapshots behind atomic pointers.
type Gateway struct {
	registry  *facts.Registry
	scheduler *SchedulerClient
	backends  BackendClient
	domain    string
	log       *events.Logger
	check     *serverCheck
	metrics   Metrics
	// hedger is nil if no hedges are sent.
	hedger *hedger
	// shareCounters counts the calls of each route, to split them over its services.
	shareCounters sync.Map // route name to *atomic.Uint64
	capRefusals   capRefusals
	streamed      streamedRoutes
	// endsAt is when the instance ends, or nil while no planned stop has begun.
	endsAt     atomic.Pointer[time.Time]
	inProgress atomic.Int64
}

// New returns the gateway of an instance.
func New(o Options) *Gateway {
	return &Gateway{
		domain: o.Domain, registry: o.Registry, scheduler: o.Scheduler, backends: o.Backends, metrics: o.Metrics, log: o.Log,
		hedger: newHedger(o.HedgeShare, o.HedgeMetrics),
		check: &serverCheck{
			registry: o.Registry, refresher: o.Refresher, domains: o.DomainsRefresher, maxDomainsAge: time.Duration(domainsAgeShare * float64(o.DomainOutLimit)),
			prober: o.Prober, log: o.Log,
		},
	}
}

// StopAt makes the gateway refuse the further calls that could still be in progress at
// end, when the instance ends: calls whose deadline is later.
func (g *Gateway) StopAt(end time.Time) {
	g.endsAt.Store(&end)
}

// InProgress returns the number of calls that have no final reply yet.
func (g *Gateway) InProgress() int {
	return int(g.inProgress.Load())
}

// Handle processes the call and returns the final reply. ctx is cancelled when the
// caller leaves, with the cause ErrInstanceEnded when the instance ends, and with another
// cause when the caller's connection ends because of it.
func (g *Gateway) Handle(ctx context.Context, call *Call) Reply {
	g.inProgress.Add(1)
	defer g.inProgress.Add(-1)
	reply, state := g.handle(ctx, call)
	if ctx.Err() != nil && reply.Outcome != OutcomeAnswered {
		reply = state.interruptedReply(context.Cause(ctx), reply)
	}
	duration := time.Since(call.ArrivedAt)
	g.metrics.CallEnded(state.service, reply.Outcome.String(), duration)
	if call.Team != nil {
		g.metrics.TeamCallEnded(call.Team.Name, reply.Outcome.String())
	}
	if reply.Outcome == OutcomeOverCap && call.Team != nil {
		g.recordCapRefusal(call.Team.Name, state.service)
	}
	g.log.Emit(events.CallEnded, "request", call.ID, "route", state.route, "service", state.service, "key", call.Key,
		"outcome", reply.Outcome.String(), "server", state.server, "server_domain", state.serverDomain, "sends", state.sends, "sent_ms", state.sentAfter(call).Milliseconds(), "evidence", state.evidence.String(), "facts_ms", state.factsAge.Milliseconds(), "domains_ms", state.domainsAge.Milliseconds(), "ms", duration.Milliseconds(), "limit_ms", state.limit(call).Milliseconds(),
		"retry_after_ms", reply.RetryAfter.Milliseconds(), "settings_version", state.version, "team", state.sender.teamName(), "detail", reply.Detail)
	return reply
}

// recordCapRefusal counts a call that the usage cap of a team has refused, and logs those of
// the team at intervals.
func (g *Gateway) recordCapRefusal(team, service string) {
	g.metrics.CapRefused(team)
	if count := g.capRefusals.add(time.Now(), team); count > 0 {
		g.log.Emit(events.TeamCapRefused, "team", team, "service", service, "count", count)
	}
}

func (g *Gateway) handle(ctx context.Context, call *Call) (Reply, callState) {
	g.check.refreshFacts(ctx) // the route may have changed or be new
	config := g.registry.Snapshot().Config
	if config == nil {
		return replyNoConfig, callState{}
	}
	route := config.Match(call.Host, call.Path)
	sender := authorize(config, call, route)
	if sender.denial != denialNone {
		return g.unauthorizedReply(call, sender.denial, "on arrival"), callState{version: config.Version}
	}
	sender.setOn(call)
	if route == nil {
		return replyNoRoute, callState{version: config.Version}
	}
	call.Route = route
	state := callState{route: route.Name, service: route.SelectService(g.shareCounter(route.Name).Add(1) - 1), version: config.Version, sender: sender}
	state.deadline = call.setDeadline()
	if g.mayEndBefore(state.deadline) {
		return replyStopping, state
	}
	if err := call.Body.Buffer(ctx, state.deadline, config.Limits.BodyBytes); err != nil {
		return bodyReply(err), state
	}
	state.contentHash = contentHash(call, state.service)
	ctx, cancel := context.WithDeadline(ctx, state.deadline)
	reply := g.sendAuthorized(ctx, call, &state)
	if reply.Response != nil && reply.Response.Remainder != nil {
		g.streamed.record(route.Name, time.Now())
		reply.Response.Remainder = &streamedBody{ReadCloser: reply.Response.Remainder, cancel: cancel}
	} else {
		cancel()
	}
	return reply, state
}

// mayEndBefore reports whether a planned stop may end the instance before the deadline.
func (g *Gateway) mayEndBefore(deadline time.Time) bool {
	end := g.endsAt.Load()
	return end != nil && deadline.After(*end)
}

func (g *Gateway) shareCounter(route string) *atomic.Uint64 {
	if n, ok := g.shareCounters.Load(route); ok {
		return n.(*atomic.Uint64)
	}
	n, _ := g.shareCounters.LoadOrStore(route, new(atomic.Uint64))
	return n.(*atomic.Uint64)
}

// contentHash hashes what identifies a repeated call: its service, caller, method,
// target and the buffered start of its body, but not its ID.
func contentHash(call *Call, service string) uint64 {
	var h xxhash.Digest
	for _, part := range []string{service, call.Caller, call.Method, call.Target} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(call.Body.Buffered)
	return h.Sum64()
}

// bodyReply returns the reply to a call whose body could not be buffered.
func bodyReply(err error) Reply {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return Reply{Outcome: OutcomeTooLarge, Detail: err.Error()}
	case errors.Is(err, errBodyTimeout):
		return Reply{Outcome: OutcomeNotRun, RetryAfter: defaultRetryAfter, Detail: err.Error()}
	}
	return Reply{Outcome: OutcomeUnreadable, Detail: err.Error()}
}

// sendUntilDone makes attempts until the call is answered, is refused or may not be
// sent again.
func (g *Gateway) sendUntilDone(ctx context.Context, call *Call, state *callState) Reply {
	for {
		if !g.recheckSender(call, state) {
			return state.finalReply(ctx)
		}
		decision := g.scheduler.Place(ctx, g.newAttempt(call, state))
		if decision.Server == "" {
			return state.refusalReply(decision)
		}
		result := g.sendHedged(ctx, call, state, decision)
		if result.Outcome == placing.Answered {
			return Reply{Outcome: OutcomeAnswered, Response: result.Response}
		}
		state.recordResult(result)
		if !state.mayRetry(call, result.Outcome) || ctx.Err() != nil {
			return state.finalReply(ctx)
		}
		g.log.Emit(events.AttemptEnded, "request", call.ID, "server", decision.Server, "outcome", result.Outcome.String(), "detail", result.Detail)
	}
}

func (g *Gateway) newAttempt(call *Call, state *callState) placing.Attempt {
	key := placing.NoKey
	if s := g.registry.Snapshot().Config.Services[state.service]; s != nil && s.Keyed {
		key = call.Key
	}
	return placing.Attempt{
		Service:      state.service,
		Key:          key,
		Team:         state.sender.teamName(),
		Priority:     state.sender.config.Rank(state.sender.team, call.Route),
		Domain:       g.domain,
		Large:        call.Route.Kind.Large(),
		SoftDeadline: call.ArrivedAt.Add(call.Route.LatencyTarget - responseMargin),
		Deadline:     state.deadline,
		ContentHash:  state.contentHash,
		Resubmitted:  state.hasSubmitted(),
		Tried:        call.Tried,
	}
}

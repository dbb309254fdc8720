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
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Gateway runs calls. It is safe for concurrent use; what it reads on the path
// of a call are immutable views behind atomic pointers.
type Gateway struct {
	registry  *facts.Board
	scheduler *SchedulerClient
	backends  BackendClient
	domain    string
	log       *events.Logger
	metrics   Metrics
	// shareCounters spreads the calls of each route over its shares.
	shareCounters sync.Map // route name to *atomic.Uint64
	stopping      atomic.Bool
}

// New returns a gateway of an instance in the failure domain.
func New(domain string, board *facts.Board, desk *SchedulerClient, backends BackendClient, metrics Metrics, log *events.Logger) *Gateway {
	return &Gateway{domain: domain, registry: board, scheduler: desk, backends: backends, metrics: metrics, log: log}
}

// StopAccepting makes the gateway refuse all later calls, as the instance is about to end.
func (g *Gateway) StopAccepting() {
	g.stopping.Store(true)
}

// Route returns the route of a host and path, or nil.
func (g *Gateway) Route(host, path string) *fleet.Route {
	config := g.registry.View().Config
	if config == nil {
		return nil
	}
	return config.Match(host, path)
}

// Handle takes the call to its final answer. ctx ends when the caller leaves.
func (g *Gateway) Handle(ctx context.Context, call *Call) Reply {
	reply, attempt := g.handle(ctx, call)
	if ctx.Err() != nil && reply.Outcome != OutcomeAnswered {
		reply.Outcome = OutcomeCallerGone
	}
	took := time.Since(call.ArrivedAt)
	g.metrics.CallEnded(attempt.service, reply.Outcome.String(), took)
	g.log.Emit(events.CallEnded, "request", call.ID, "route", attempt.route, "service", attempt.service, "key", call.Key,
		"outcome", reply.Outcome.String(), "server", attempt.server, "sends", attempt.sends, "ms", took.Milliseconds(),
		"retry_after_ms", reply.RetryAfter.Milliseconds(), "settings_version", attempt.version, "detail", reply.Detail)
	return reply
}

func (g *Gateway) handle(ctx context.Context, call *Call) (Reply, callState) {
	if g.stopping.Load() {
		return Reply{Outcome: OutcomeNotRun, RetryAfter: retryAfterStopping, Detail: "the instance is about to end"}, callState{}
	}
	config := g.registry.View().Config
	if config == nil {
		return Reply{Outcome: OutcomeNotRun, RetryAfter: retryAfterNoConfig, Detail: "no configuration yet"}, callState{}
	}
	route := config.Match(call.Host, call.Path)
	if route == nil {
		return Reply{Outcome: OutcomeNoRoute, Detail: "no route"}, callState{version: config.Version}
	}
	call.Route = route
	a := callState{route: route.Name, service: route.Service(g.shareCounter(route.Name).Add(1) - 1), version: config.Version}
	if call.Timeout <= 0 {
		call.Timeout = defaultCallTimeout
	}
	wait := call.Timeout - responseMargin
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	a.deadline = call.ArrivedAt.Add(wait)
	if err := call.Body.Buffer(ctx, a.deadline, config.Limits.BodyBytes); err != nil {
		return bodyReply(err), a
	}
	a.contentHash = contentHash(call, a.service)
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	return g.sendUntilDone(ctx, call, &a), a
}

func (g *Gateway) shareCounter(route string) *atomic.Uint64 {
	if n, ok := g.shareCounters.Load(route); ok {
		return n.(*atomic.Uint64)
	}
	n, _ := g.shareCounters.LoadOrStore(route, new(atomic.Uint64))
	return n.(*atomic.Uint64)
}

// contentHash identifies the content of a call without its ID.
func contentHash(call *Call, service string) uint64 {
	var h xxhash.Digest
	for _, part := range []string{service, call.Caller, call.Method, call.Target} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(call.Body.Buffered)
	return h.Sum64()
}

func bodyReply(err error) Reply {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return Reply{Outcome: OutcomeTooLarge, Detail: err.Error()}
	case errors.Is(err, errBodyTimeout):
		return Reply{Outcome: OutcomeNotRun, RetryAfter: defaultRetryAfter, Detail: err.Error()}
	}
	return Reply{Outcome: OutcomeUnreadable, Detail: err.Error()}
}

// sendUntilDone sends the call until it has an outcome.
func (g *Gateway) sendUntilDone(ctx context.Context, call *Call, a *callState) Reply {
	for {
		verdict := g.scheduler.Place(ctx, g.newAttempt(call, a))
		if verdict.Server == "" {
			return a.refusalReply(verdict)
		}
		result := g.send(ctx, call, a, verdict)
		if result.Outcome == placing.Answered {
			return Reply{Outcome: OutcomeAnswered, Response: result.Response}
		}
		a.recordResult(result)
		if !a.mayRetry(call, result.Outcome) || ctx.Err() != nil {
			return a.finalReply(ctx)
		}
		g.log.Emit(events.AttemptEnded, "request", call.ID, "server", verdict.Server, "outcome", result.Outcome.String(), "detail", result.Detail)
	}
}

func (g *Gateway) newAttempt(call *Call, a *callState) placing.Attempt {
	key := placing.NoKey
	if s := g.registry.View().Config.Services[a.service]; s != nil && s.Keyed {
		key = call.Key
	}
	return placing.Attempt{
		Service:      a.service,
		Key:          key,
		Priority:     call.Route.Priority,
		Domain:       g.domain,
		Large:        call.Route.Kind == fleet.KindUpload,
		SoftDeadline: call.ArrivedAt.Add(call.Route.LatencyTarget - responseMargin),
		Deadline:     a.deadline,
		ContentHash:  a.contentHash,
		Resubmitted:  a.hasSubmitted(),
		Tried:        a.tried,
	}
}

// send makes one attempt and reports its end.
func (g *Gateway) send(ctx context.Context, call *Call, a *callState, verdict placing.Decision) AttemptResult {
	finish := placing.Completion{AttemptID: verdict.AttemptID, Server: verdict.Server, Outcome: placing.Unused, ContentHash: a.contentHash}
	view := g.registry.View()
	server := view.Server(verdict.Server)
	if server == nil || !view.Usable(server) || time.Until(a.deadline) < minAttemptTime {
		g.scheduler.Complete(finish)
		return AttemptResult{Outcome: placing.Unused, Detail: "the server is not usable any more"}
	}
	began := time.Now()
	result := g.backends.Send(ctx, server, call, a.deadline)
	finish.Outcome, finish.Load, finish.Duration = result.Outcome, result.Load, time.Since(began)
	g.scheduler.Complete(finish)
	a.server = verdict.Server
	a.sends++
	if result.Outcome != placing.Unreached {
		a.tried = append(a.tried, verdict.Server)
	}
	return result
}

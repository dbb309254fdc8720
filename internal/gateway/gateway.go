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
	board    *facts.Board
	desk     *SchedulerClient
	backends BackendClient
	domain   string
	log      *events.Logger
	metrics  Metrics
	// counters spreads the calls of each route over its shares.
	counters sync.Map // route name to *atomic.Uint64
	refusing atomic.Bool
}

// New returns a gateway of an instance in the failure domain.
func New(domain string, board *facts.Board, desk *SchedulerClient, backends BackendClient, metrics Metrics, log *events.Logger) *Gateway {
	return &Gateway{domain: domain, board: board, desk: desk, backends: backends, metrics: metrics, log: log}
}

// StopAccepting makes the gateway refuse all later calls, as the instance is about to end.
func (g *Gateway) StopAccepting() {
	g.refusing.Store(true)
}

// Route returns the route of a host and path, or nil.
func (g *Gateway) Route(host, path string) *fleet.Route {
	config := g.board.View().Config
	if config == nil {
		return nil
	}
	return config.Match(host, path)
}

// Handle takes the call to its final answer. ctx ends when the caller leaves.
func (g *Gateway) Handle(ctx context.Context, call *Call) Reply {
	reply, attempt := g.run(ctx, call)
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

func (g *Gateway) run(ctx context.Context, call *Call) (Reply, attempt) {
	if g.refusing.Load() {
		return Reply{Outcome: OutcomeNotRun, RetryAfter: retryElsewhere, Detail: "the instance is about to end"}, attempt{}
	}
	config := g.board.View().Config
	if config == nil {
		return Reply{Outcome: OutcomeNotRun, RetryAfter: retryWithoutConfig, Detail: "no configuration yet"}, attempt{}
	}
	route := config.Match(call.Host, call.Path)
	if route == nil {
		return Reply{Outcome: OutcomeNoRoute, Detail: "no route"}, attempt{version: config.Version}
	}
	call.Route = route
	a := attempt{route: route.Name, service: route.Service(g.counter(route.Name).Add(1) - 1), version: config.Version}
	if call.Timeout <= 0 {
		call.Timeout = defaultPatience
	}
	wait := call.Timeout - answerMargin
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	a.deadline = call.ArrivedAt.Add(wait)
	if err := call.Body.Buffer(ctx, a.deadline, config.Limits.BodyBytes); err != nil {
		return bodyReply(err), a
	}
	a.mark = mark(call, a.service)
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	return g.attempts(ctx, call, &a), a
}

func (g *Gateway) counter(route string) *atomic.Uint64 {
	if n, ok := g.counters.Load(route); ok {
		return n.(*atomic.Uint64)
	}
	n, _ := g.counters.LoadOrStore(route, new(atomic.Uint64))
	return n.(*atomic.Uint64)
}

// mark identifies the content of a call without its ID.
func mark(call *Call, service string) uint64 {
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
	case errors.Is(err, errBodyLate):
		return Reply{Outcome: OutcomeNotRun, RetryAfter: retryDefault, Detail: err.Error()}
	}
	return Reply{Outcome: OutcomeUnreadable, Detail: err.Error()}
}

// attempts sends the call until it has an outcome.
func (g *Gateway) attempts(ctx context.Context, call *Call, a *attempt) Reply {
	for {
		verdict := g.desk.Place(ctx, g.ask(call, a))
		if verdict.Server == "" {
			return a.refused(verdict)
		}
		result := g.send(ctx, call, a, verdict)
		if result.Outcome == placing.Answered {
			return Reply{Outcome: OutcomeAnswered, Response: result.Response}
		}
		a.note(result)
		if !a.mayRepeat(call, result.Outcome) || ctx.Err() != nil {
			return a.final(ctx)
		}
		g.log.Emit(events.AttemptEnded, "request", call.ID, "server", verdict.Server, "outcome", result.Outcome.String(), "detail", result.Detail)
	}
}

func (g *Gateway) ask(call *Call, a *attempt) placing.Attempt {
	key := placing.NoKey
	if s := g.board.View().Config.Services[a.service]; s != nil && s.Keyed {
		key = call.Key
	}
	return placing.Attempt{
		Service:  a.service,
		Key:      key,
		Priority: call.Route.Priority,
		Domain:   g.domain,
		Large:    call.Route.Kind == fleet.KindUpload,
		SoftDeadline:   call.ArrivedAt.Add(call.Route.LatencyTarget - answerMargin),
		Deadline: a.deadline,
		ContentHash:     a.mark,
		Resubmitted:    a.asked(),
		Tried:    a.tried,
	}
}

// send makes one attempt and reports its end.
func (g *Gateway) send(ctx context.Context, call *Call, a *attempt, verdict placing.Decision) AttemptResult {
	finish := placing.Completion{AttemptID: verdict.AttemptID, Server: verdict.Server, Outcome: placing.Unused, ContentHash: a.mark}
	view := g.board.View()
	server := view.Server(verdict.Server)
	if server == nil || !view.Usable(server) || time.Until(a.deadline) < shortestAttempt {
		g.desk.Complete(finish)
		return AttemptResult{Outcome: placing.Unused, Detail: "the server is not usable any more"}
	}
	began := time.Now()
	result := g.backends.Send(ctx, server, call, a.deadline)
	finish.Outcome, finish.Load, finish.Duration = result.Outcome, result.Load, time.Since(began)
	g.desk.Complete(finish)
	a.server = verdict.Server
	a.sends++
	if result.Outcome != placing.Unreached {
		a.tried = append(a.tried, verdict.Server)
	}
	return result
}

package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backhttp"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// timedAttempt is what a server does with an attempt: it ends after the given time.
type timedAttempt struct {
	after  time.Duration
	result AttemptResult
}

// timedClient is a BackendClient whose servers take time. It checks that no two attempts share
// a call.
type timedClient struct {
	servers map[string]timedAttempt
	mu      sync.Mutex
	sent    []string
	calls   map[*Call]bool
	running atomic.Int32
	// ended holds how each attempt ended for the server.
	ended map[string]string
}

func (c *timedClient) Send(ctx context.Context, server *fleet.Server, call *Call, _ time.Time, mayWrite func() bool) AttemptResult {
	c.running.Add(1)
	defer c.running.Add(-1)
	if !mayWrite() {
		return AttemptResult{Outcome: placing.Unused}
	}
	c.mu.Lock()
	c.sent = append(c.sent, server.Name)
	if c.calls[call] {
		panic("two attempts share a call")
	}
	c.calls[call] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.calls, call)
		c.mu.Unlock()
	}()
	attempt := c.servers[server.Name]
	end := func(how string) {
		c.mu.Lock()
		c.ended[server.Name] = how
		c.mu.Unlock()
	}
	select {
	case <-time.After(attempt.after):
		end(attempt.result.Outcome.String())
		return attempt.result
	case <-ctx.Done():
		end("cancelled")
	}
	return AttemptResult{Outcome: placing.Abandoned, Detail: "reset"}
}

// hedgingLink is a link to a holder that assigns the first attempts to server a and hedges to
// server b, or refuses hedges, after a time.
type hedgingLink struct {
	client     *SchedulerClient
	refuse     bool
	hedgeAfter time.Duration
	mu         sync.Mutex
	hedges     []*linkpb.Ask
	retries    int
	finishes   map[string]placing.Outcome
	withdrawn  int
}

func (l *hedgingLink) Send(up *linkpb.Up) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawn += len(up.Withdrawn)
	for _, f := range up.Finishes {
		l.finishes[f.Server] = placing.Outcome(f.Outcome)
	}
	for _, a := range up.Asks {
		v, wait := &linkpb.Verdict{Number: a.Number, Server: "a"}, time.Duration(0)
		switch {
		case a.Hedge:
			l.hedges, wait = append(l.hedges, a), l.hedgeAfter
			v.Server = "b"
			if l.refuse {
				v.Server, v.Reason = "", uint32(placing.ReasonNoHedge)
			}
		case len(a.Avoid) > 0:
			l.retries++
			v.Server = "c"
		}
		_, onDown := l.client.NewReceiver()
		go func() {
			time.Sleep(wait)
			onDown(&linkpb.Down{Verdicts: []*linkpb.Verdict{v}})
		}()
	}
	return true
}
func (l *hedgingLink) Done() <-chan struct{}      { return nil }
func (l *hedgingLink) EncodeTime(time.Time) int64 { return 0 }
func (l *hedgingLink) Close()                     {}

// hedgeCounts counts hedges.
type hedgeCounts struct{ sent, won, refused atomic.Int32 }

func (c *hedgeCounts) HedgeSent(string)    { c.sent.Add(1) }
func (c *hedgeCounts) HedgeWon(string)     { c.won.Add(1) }
func (c *hedgeCounts) HedgeRefused(string) { c.refused.Add(1) }

// hedgingGateway is a gateway that has learned a delay of 50 to 55 ms. Its route waits 300 ms.
type hedgingGateway struct {
	*Gateway
	client *timedClient
	link   *hedgingLink
	counts *hedgeCounts
	log    *bytes.Buffer
	logger *events.Logger
}

func newHedgingGateway(kind fleet.RequestKind, share float64, servers map[string]timedAttempt) *hedgingGateway {
	registry := newRegistry(kind)
	client := NewSchedulerClient("i", "d", registry, nil)
	h := &hedgingGateway{
		client: &timedClient{servers: servers, calls: map[*Call]bool{}, ended: map[string]string{}},
		link:   &hedgingLink{client: client, finishes: map[string]placing.Outcome{}},
		counts: &hedgeCounts{}, log: &bytes.Buffer{},
	}
	client.Attach(h.link)
	h.logger = events.NewLogger(h.log)
	h.Gateway = New(Options{
		Domain: "d", Registry: registry, Scheduler: client, Backends: h.client, Metrics: noMetrics{}, Log: h.logger, HedgeShare: share, HedgeMetrics: h.counts,
		Refresher: fakeRefresher(func() bool { return false }), DomainsRefresher: fakeRefresher(func() bool { return false }), DomainOutLimit: maxDomainOutTime, Prober: &fakeProber{},
	})
	if h.hedger != nil {
		for range 64 {
			h.hedger.delays.Of("s").Observe(50 * time.Millisecond)
		}
	}
	return h
}

func newHedgedCall(body *Body) *Call {
	return &Call{ID: "1", Method: "GET", Host: "h", Path: "/p/x", Header: http.Header{}, Key: placing.NoKey, ArrivedAt: time.Now(), Timeout: time.Second, Body: body}
}

func answer(text string) AttemptResult {
	return AttemptResult{Outcome: placing.Answered, Response: &backhttp.Response{Status: 200, Body: []byte(text)}}
}

// Guards against a wrong reply, a wrong report of an attempt to the holder, an attempt that
// goes on after the reply, and a hedge where none may be, in each order of the ends of both
// attempts.
func TestHedgedCalls(t *testing.T) {
	lost, shed := AttemptResult{Outcome: placing.Lost}, AttemptResult{Outcome: placing.Shed}
	const ms = time.Millisecond
	never := timedAttempt{time.Hour, AttemptResult{}}
	for name, c := range map[string]struct {
		a, b, c      timedAttempt
		refuse       bool
		hedgeAfter   time.Duration
		outcome      Outcome
		body         string
		took         time.Duration
		outcomeA     placing.Outcome
		outcomeB     placing.Outcome
		sent, won    int32
		hedges       int
		retries      int
		withdrawn    int
		refusedCount int32
	}{
		"fast first attempt":                     {a: timedAttempt{40 * ms, answer("a")}, outcome: OutcomeAnswered, body: "a", took: 40 * ms},
		"hedge wins":                             {a: never, b: timedAttempt{20 * ms, answer("b")}, outcome: OutcomeAnswered, body: "b", took: 75 * ms, outcomeA: placing.Cancelled, sent: 1, won: 1, hedges: 1},
		"first attempt wins":                     {a: timedAttempt{80 * ms, answer("a")}, b: never, outcome: OutcomeAnswered, body: "a", took: 80 * ms, outcomeB: placing.Cancelled, sent: 1, hedges: 1},
		"hedge refused":                          {a: timedAttempt{80 * ms, answer("a")}, refuse: true, outcome: OutcomeAnswered, body: "a", took: 80 * ms, hedges: 1, refusedCount: 1},
		"hedge refused, first fails":             {a: timedAttempt{80 * ms, lost}, c: timedAttempt{10 * ms, answer("c")}, refuse: true, outcome: OutcomeAnswered, body: "c", took: 90 * ms, outcomeA: placing.Lost, hedges: 1, refusedCount: 1, retries: 1},
		"first answers while the hedge is asked": {a: timedAttempt{80 * ms, answer("a")}, hedgeAfter: 100 * ms, outcome: OutcomeAnswered, body: "a", took: 80 * ms, outcomeB: placing.Unused, hedges: 1, withdrawn: 1},
		"first fails while the hedge runs":       {a: timedAttempt{80 * ms, lost}, b: timedAttempt{100 * ms, answer("b")}, outcome: OutcomeAnswered, body: "b", took: 155 * ms, outcomeA: placing.Lost, sent: 1, won: 1, hedges: 1},
		"first fails while the hedge is asked":   {a: timedAttempt{60 * ms, lost}, b: timedAttempt{30 * ms, answer("b")}, hedgeAfter: 20 * ms, outcome: OutcomeAnswered, body: "b", took: 105 * ms, outcomeA: placing.Lost, sent: 1, won: 1, hedges: 1},
		"first fails before the delay":           {a: timedAttempt{10 * ms, lost}, c: timedAttempt{10 * ms, answer("c")}, outcome: OutcomeAnswered, body: "c", took: 20 * ms, outcomeA: placing.Lost, retries: 1},
		"hedge fails, first answers":             {a: timedAttempt{100 * ms, answer("a")}, b: timedAttempt{10 * ms, lost}, outcome: OutcomeAnswered, body: "a", took: 100 * ms, outcomeB: placing.Lost, sent: 1, hedges: 1},
		"both fail":                              {a: timedAttempt{100 * ms, lost}, b: timedAttempt{10 * ms, lost}, outcome: OutcomeUnknown, took: 100 * ms, outcomeA: placing.Lost, outcomeB: placing.Lost, sent: 1, hedges: 1},
		"both shed":                              {a: timedAttempt{100 * ms, shed}, b: timedAttempt{10 * ms, shed}, outcome: OutcomeNotRun, took: 100 * ms, outcomeA: placing.Shed, outcomeB: placing.Shed, sent: 1, hedges: 1},
		"first shed, hedge lost":                 {a: timedAttempt{60 * ms, shed}, b: timedAttempt{50 * ms, lost}, outcome: OutcomeUnknown, took: 105 * ms, outcomeA: placing.Shed, outcomeB: placing.Lost, sent: 1, hedges: 1},
		"deadline ends both":                     {a: never, b: never, outcome: OutcomeTimedOut, took: 300 * ms, outcomeA: placing.Abandoned, outcomeB: placing.Abandoned, sent: 1, hedges: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHedgingGateway(fleet.KindIdempotent, 0.05, map[string]timedAttempt{"a": c.a, "b": c.b, "c": c.c})
				h.link.refuse, h.link.hedgeAfter = c.refuse, c.hedgeAfter
				startedAt := time.Now()
				reply := h.Handle(t.Context(), newHedgedCall(NewBody(nil, 0)))
				is.Equal(reply.Outcome, c.outcome)
				if c.body != "" {
					is.Equal(string(reply.Response.Body), c.body)
				}
				took := time.Since(startedAt)
				is.True(took >= c.took-5*ms && took <= c.took+5*ms) // the delay is 50 to 55 ms
				is.Equal(h.client.running.Load(), int32(0))
				time.Sleep(200 * ms) // until late verdicts have arrived
				synctest.Wait()
				is.Equal(h.link.finishes["a"], c.outcomeA)
				is.Equal(h.link.finishes["b"], c.outcomeB)
				is.Equal(h.counts.sent.Load(), c.sent)
				is.Equal(h.counts.won.Load(), c.won)
				is.Equal(h.counts.refused.Load(), c.refusedCount)
				is.Equal(len(h.link.hedges), c.hedges)
				is.Equal(h.link.retries, c.retries)
				is.Equal(h.link.withdrawn, c.withdrawn)
				for _, a := range h.link.hedges {
					is.Equal(a.Avoid, []string{"a"})
				}
				h.logger.Close()
				is.Equal(strings.Count(h.log.String(), `"hedge_sent"`), int(c.sent))
				is.Equal(strings.Count(h.log.String(), `"hedge_ended"`), int(c.sent))
				if c.sent > 0 {
					is.True(strings.Contains(h.log.String(), `"sends":2`)) // the line of the request tells that it was sent twice
				}
			})
		})
	}
}

// Guards against a hedge of a request that must not run twice or cannot be sent twice, of one
// that a route allows one server, of a keyed service, and of a deployment that has not set it.
func TestCallsThatAreNotHedged(t *testing.T) {
	for name, c := range map[string]struct {
		kind  fleet.RequestKind
		share float64
		set   func(*hedgingGateway)
		body  *Body
	}{
		"not idempotent":  {kind: fleet.KindNonIdempotent, share: 0.05},
		"upload":          {kind: fleet.KindUpload, share: 0.05},
		"not set":         {kind: fleet.KindIdempotent},
		"streamed body":   {kind: fleet.KindIdempotent, share: 0.05, body: NewBody(strings.NewReader(strings.Repeat("x", maxBufferedBody+1)), -1)},
		"one server only": {kind: fleet.KindIdempotent, share: 0.05, set: func(h *hedgingGateway) { h.registry.Snapshot().Config.Match("h", "/p/x").MaxAttempts = 1 }},
		"keyed":           {kind: fleet.KindIdempotent, share: 0.05, set: func(h *hedgingGateway) { h.registry.Snapshot().Config.Services["s"].Keyed = true }},
		"no delay known":  {kind: fleet.KindIdempotent, share: 0.05, set: func(h *hedgingGateway) { h.hedger = newHedger(0.05, h.counts) }},
		"no holder":       {kind: fleet.KindIdempotent, share: 0.05, set: func(h *hedgingGateway) { h.scheduler.link.Store(nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				slow := timedAttempt{200 * time.Millisecond, answer("a")}
				h := newHedgingGateway(c.kind, c.share, map[string]timedAttempt{"a": slow, "b": slow, "c": slow})
				if c.set != nil {
					c.set(h)
				}
				body := c.body
				if body == nil {
					body = NewBody(nil, 0)
				}
				is.Equal(h.Handle(t.Context(), newHedgedCall(body)).Outcome, OutcomeAnswered)
				is.Equal(len(h.client.sent), 1)
				is.Equal(h.counts.sent.Load(), int32(0))
				h.logger.Close()
			})
		})
	}
}

// Guards against attempts that go on when the caller leaves or the instance ends, and against
// a reply that claims that the request has not run.
func TestBothAttemptsEndWithTheCall(t *testing.T) {
	for cause, want := range map[error]Outcome{nil: OutcomeCallerGone, ErrInstanceEnded: OutcomeUnknown} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			never := timedAttempt{time.Hour, AttemptResult{}}
			h := newHedgingGateway(fleet.KindIdempotent, 0.05, map[string]timedAttempt{"a": never, "b": never})
			ctx, cancel := context.WithCancelCause(t.Context())
			time.AfterFunc(100*time.Millisecond, func() { cancel(cause) })
			startedAt := time.Now()
			is.Equal(h.Handle(ctx, newHedgedCall(NewBody(nil, 0))).Outcome, want)
			is.Equal(time.Since(startedAt), 100*time.Millisecond)
			is.Equal(h.client.ended, map[string]string{"a": "cancelled", "b": "cancelled"})
			is.Equal(h.client.running.Load(), int32(0))
			is.Equal(h.link.finishes["a"], placing.Abandoned)
			is.Equal(h.link.finishes["b"], placing.Abandoned)
			h.logger.Close()
		})
	}
}

// closingBody is the remainder of a response.
type closingBody struct {
	io.Reader
	closed atomic.Bool
}

func (b *closingBody) Close() error {
	b.closed.Store(true)
	return nil
}

// Guards against a long response that breaks off because the other attempt is cancelled, and
// against two responses of which the unused one is never released, when both attempts are
// answered at the same time.
func TestOneOfTwoResponsesIsUsedAndTheOtherReleased(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			bodies := map[string]*closingBody{"a": {Reader: strings.NewReader("a")}, "b": {Reader: strings.NewReader("b")}}
			respond := func(name string, after time.Duration) timedAttempt {
				return timedAttempt{after, AttemptResult{Outcome: placing.Answered, Response: &backhttp.Response{Status: 200, Remainder: bodies[name]}}}
			}
			h := newHedgingGateway(fleet.KindDownload, 0.05, nil)
			after, _ := h.hedger.delays.Of("s").After()
			h.client.servers = map[string]timedAttempt{"a": respond("a", 100*time.Millisecond), "b": respond("b", 100*time.Millisecond-after)}
			reply := h.Handle(t.Context(), newHedgedCall(NewBody(nil, 0)))
			is.Equal(reply.Outcome, OutcomeAnswered)
			text, err := io.ReadAll(reply.Response.Remainder)
			is.NoErr(err)
			other := map[string]string{"a": "b", "b": "a"}[string(text)]
			is.True(!bodies[string(text)].closed.Load())
			is.True(bodies[other].closed.Load() || h.link.finishes[other] == placing.Cancelled)
			is.NoErr(reply.Response.Remainder.Close())
			h.logger.Close()
		})
	}
}

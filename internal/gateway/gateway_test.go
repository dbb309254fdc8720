package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backhttp"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// scriptedClient is a BackendClient that returns the given results in order; the last
// one repeats.
type scriptedClient struct {
	results []AttemptResult
	sent    []string
	// beforeWrite, if set, is called while a connection is made.
	beforeWrite func()
}

func (s *scriptedClient) Send(ctx context.Context, server *fleet.Server, _ *Call, _ time.Time, mayWrite func() bool) AttemptResult {
	if s.beforeWrite != nil {
		s.beforeWrite()
	}
	if !mayWrite() {
		return AttemptResult{Outcome: placing.Unused}
	}
	s.sent = append(s.sent, server.Name)
	r := s.results[min(len(s.sent), len(s.results))-1]
	if r.Outcome == placing.Abandoned {
		<-ctx.Done()
	}
	return r
}

// newAnsweringClient returns a client that answers all calls.
func newAnsweringClient() *scriptedClient {
	return &scriptedClient{results: []AttemptResult{{Outcome: placing.Answered, Response: &backhttp.Response{Status: 200}}}}
}

// noMetrics records nothing.
type noMetrics struct{}

func (noMetrics) CallEnded(string, string, time.Duration) {}
func (noMetrics) FactsAge(_, _ time.Duration)             {}
func (noMetrics) Sent(string)                             {}
func (noMetrics) TeamCallEnded(string, string)            {}
func (noMetrics) CallUnauthorized(string)                 {}
func (noMetrics) CapRefused(string)                       {}

// fakeRefresher reads the store, or cannot.
type fakeRefresher func() bool

func (f fakeRefresher) Refresh(context.Context) bool { return f() }

// newGateway returns a gateway that cannot read the store.
func newGateway(registry *facts.Registry, client *SchedulerClient, backends BackendClient, log *events.Logger) *Gateway {
	return New(Options{
		Domain: "d", Registry: registry, Scheduler: client, Backends: backends, Metrics: noMetrics{}, Log: log,
		Refresher: fakeRefresher(func() bool { return false }), DomainsRefresher: fakeRefresher(func() bool { return false }), DomainOutLimit: maxDomainOutTime, Prober: &fakeProber{},
	})
}

// roundRobinLink is a link to a holder that assigns the attempts to the servers in turn.
type roundRobinLink struct {
	client  *SchedulerClient
	servers []string
	next    int
}

func (l *roundRobinLink) Send(up *linkpb.Up) bool {
	for _, a := range up.Asks {
		v := &linkpb.Verdict{Number: a.Number, Server: l.servers[l.next%len(l.servers)]}
		l.next++
		_, onDown := l.client.NewReceiver()
		go onDown(&linkpb.Down{Verdicts: []*linkpb.Verdict{v}})
	}
	return true
}
func (l *roundRobinLink) Done() <-chan struct{}      { return nil }
func (l *roundRobinLink) EncodeTime(time.Time) int64 { return 0 }
func (l *roundRobinLink) Close()                     {}

func newRegistry(kind fleet.RequestKind) *facts.Registry {
	registry := facts.NewRegistry(func([]byte) (*fleet.Config, error) {
		route := &fleet.Route{
			Name: "r", Host: "h", Prefix: "/p/", Kind: kind, Timeout: 300 * time.Millisecond, LatencyTarget: 100 * time.Millisecond,
			MaxAttempts: 2, Shares: []fleet.TrafficShare{{Service: "s", Weight: 1}},
		}
		return fleet.NewConfig(1, []*fleet.Service{{Name: "s", HealthPath: "/health"}}, []*fleet.Route{route}, fleet.Limits{BodyBytes: 1 << 20}), nil
	}, nil)
	now := time.Now()
	registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("c")}, now)
	var servers []fleet.Server
	for _, n := range []string{"a", "b", "c"} {
		servers = append(servers, fleet.Server{Incarnation: fleet.Incarnation{Name: n}, Service: "s", Address: fleet.Address(n), Domain: "d", Slots: 3})
	}
	registry.UpdateListing(fleet.Listing{Servers: servers}, now)
	registry.ConfirmRead(now)
	return registry
}

func handleCall(t *testing.T, kind fleet.RequestKind, backends *scriptedClient, ctx context.Context) Reply {
	t.Helper()
	registry := newRegistry(kind)
	client := NewSchedulerClient("i", "d", registry, nil)
	client.Attach(&roundRobinLink{client: client, servers: []string{"a", "b", "c"}})
	g := newGateway(registry, client, backends, nil)
	return g.Handle(ctx, &Call{ID: "1", Method: "GET", Host: "h", Path: "/p/x", Header: http.Header{}, Key: placing.NoKey, ArrivedAt: time.Now(), Timeout: time.Second, Body: NewBody(nil, 0)})
}

// Guards against a wrong outcome after each sequence of attempt results: a reply
// that a non-idempotent request has not run must be true, and such a request must
// not be sent again once it may have run.
func TestOutcomes(t *testing.T) {
	answered := AttemptResult{Outcome: placing.Answered, Response: &backhttp.Response{Status: 200}}
	shed, lost := AttemptResult{Outcome: placing.Shed}, AttemptResult{Outcome: placing.Lost}
	unreached, misdirected := AttemptResult{Outcome: placing.Unreached}, AttemptResult{Outcome: placing.Misdirected}
	late := AttemptResult{Outcome: placing.Abandoned}
	for name, c := range map[string]struct {
		kind    fleet.RequestKind
		results []AttemptResult
		want    Outcome
		sends   int
	}{
		"answered":                             {fleet.KindNonIdempotent, []AttemptResult{answered}, OutcomeAnswered, 1},
		"shed, then answered":                  {fleet.KindNonIdempotent, []AttemptResult{shed, answered}, OutcomeAnswered, 2},
		"unreached, then answered":             {fleet.KindNonIdempotent, []AttemptResult{unreached, answered}, OutcomeAnswered, 2},
		"misdirected, then answered":           {fleet.KindUpload, []AttemptResult{misdirected, answered}, OutcomeAnswered, 2},
		"shed by all":                          {fleet.KindNonIdempotent, []AttemptResult{shed}, OutcomeNotRun, 2},
		"lost, not idempotent":                 {fleet.KindNonIdempotent, []AttemptResult{lost, answered}, OutcomeUnknown, 1},
		"lost, an upload":                      {fleet.KindUpload, []AttemptResult{lost, answered}, OutcomeUnknown, 1},
		"shed, then lost":                      {fleet.KindNonIdempotent, []AttemptResult{shed, lost, answered}, OutcomeUnknown, 2},
		"lost, idempotent":                     {fleet.KindIdempotent, []AttemptResult{lost, answered}, OutcomeAnswered, 2},
		"lost, then shed: it may have run":     {fleet.KindIdempotent, []AttemptResult{lost, shed}, OutcomeUnknown, 2},
		"out of time: it may have run":         {fleet.KindNonIdempotent, []AttemptResult{late}, OutcomeTimedOut, 1},
		"out of time, idempotent, not resent":  {fleet.KindIdempotent, []AttemptResult{late}, OutcomeTimedOut, 1},
		"more servers than the route may have": {fleet.KindIdempotent, []AttemptResult{lost}, OutcomeUnknown, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedClient{results: c.results}
			reply := handleCall(t, c.kind, s, context.Background())
			is.Equal(reply.Outcome, c.want)
			is.Equal(len(s.sent), c.sends)
			if c.want == OutcomeNotRun {
				is.True(reply.RetryAfter > 0)
			}
		})
	}
}

// Guards against a reply to a caller that has left, and against further attempts.
func TestCallerGone(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	s := &scriptedClient{results: []AttemptResult{{Outcome: placing.Abandoned}}}
	is.Equal(handleCall(t, fleet.KindIdempotent, s, ctx).Outcome, OutcomeCallerGone)
	is.Equal(len(s.sent), 1)
}

// Guards against a 404 from an instance that has no configuration yet.
func TestNotRunWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	registry := facts.NewRegistry(nil, nil)
	g := newGateway(registry, NewSchedulerClient("i", "d", registry, nil), &scriptedClient{}, nil)
	reply := g.Handle(context.Background(), &Call{Host: "h", Path: "/p/", ArrivedAt: time.Now(), Body: NewBody(nil, 0)})
	is.Equal(reply.Outcome, OutcomeNotRun)
}

// Guards against a stopping instance that sends a call to a server although the call may
// last longer than the instance, that does not report it as not run, or that refuses a
// call which ends in time. The timeout of the route is 300 ms.
func TestStoppingInstanceAcceptsOnlyCallsThatEndBeforeIt(t *testing.T) {
	for name, c := range map[string]struct {
		left    time.Duration
		timeout time.Duration
		want    Outcome
	}{
		"ends in time":                     {301 * time.Millisecond, time.Second, OutcomeAnswered},
		"timeout of the route too long":    {299 * time.Millisecond, time.Second, OutcomeNotRun},
		"shorter timeout of the caller":    {299 * time.Millisecond, 200 * time.Millisecond, OutcomeAnswered},
		"caller states no timeout":         {299 * time.Millisecond, 0, OutcomeNotRun},
		"after the end":                    {-time.Millisecond, 100 * time.Millisecond, OutcomeNotRun},
		"caller states none, ends in time": {301 * time.Millisecond, 0, OutcomeAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				registry := newRegistry(fleet.KindNonIdempotent)
				s := &scriptedClient{results: []AttemptResult{{Outcome: placing.Answered, Response: &backhttp.Response{}}}}
				g := newGateway(registry, NewSchedulerClient("i", "d", registry, nil), s, nil)
				g.StopAt(time.Now().Add(c.left))
				reply := g.Handle(t.Context(), &Call{Host: "h", Path: "/p/x", ArrivedAt: time.Now(), Timeout: c.timeout, Key: placing.NoKey, Body: NewBody(nil, 0)})
				is.Equal(reply.Outcome, c.want)
				is.Equal(len(s.sent) == 0, c.want == OutcomeNotRun)
				is.Equal(reply.RetryAfter > 0, c.want == OutcomeNotRun)
			})
		})
	}
}

// Guards against an instance that serves no requests, or overloads a server, while
// the holder is silent.
func TestPlacesLocallyWhileTheHolderIsSilent(t *testing.T) {
	is := is.New(t)
	registry := newRegistry(fleet.KindIdempotent)
	client := NewSchedulerClient("i", "d", registry, nil)
	sent := map[string]int{}
	refused := 0
	attempt := placing.Attempt{Service: "s", Key: placing.NoKey, Deadline: time.Now().Add(time.Second)}
	for range 30 {
		v := client.Place(context.Background(), attempt)
		if v.Server == "" {
			refused++
			continue
		}
		sent[v.Server]++
	}
	for _, n := range sent {
		is.True(n <= maxLocalInFlight)
	}
	is.True(len(sent) == 3 && refused >= 30-3*maxLocalInFlight)
	attempt.Tried = []string{"a"}
	is.Equal(client.Place(context.Background(), attempt).Server, "") // only the holder allows retries
}

// Guards against sending a request to a server that does not own its key while the
// holder is silent.
func TestLocalPlacementFollowsKeyOwners(t *testing.T) {
	is := is.New(t)
	registry := newRegistry(fleet.KindIdempotent)
	registry.UpdateOwners(map[string][]owners.OwnedRange{"s": {
		{Interval: owners.Interval{From: 0, To: 9}, Owner: "b", Held: true},
		{Interval: owners.Interval{From: 10, To: 19}, Owner: "c"},
	}}, 1)
	client := NewSchedulerClient("i", "d", registry, nil)
	place := func(key int) string {
		return client.Place(context.Background(), placing.Attempt{Service: "s", Key: key, Deadline: time.Now().Add(time.Second)}).Server
	}
	is.Equal(place(5), "b")
	is.Equal(place(15), "") // the range is moving
	is.Equal(place(25), "") // the key has no owner
}

// Guards against bodies that are truncated, or buffered without a size limit.
func TestBufferBody(t *testing.T) {
	deadline := func() time.Time { return time.Now().Add(time.Second) }
	long := strings.Repeat("x", maxBufferedBody+10)
	for name, c := range map[string]struct {
		text      string
		length    int64
		limit     int64
		err       error
		remainder int
	}{
		"empty":              {"", 0, 100, nil, 0},
		"with length":        {"abc", 3, 100, nil, 0},
		"in chunks":          {"abc", -1, 100, nil, 0},
		"declared too long":  {"abc", 101, 100, errBodyTooLarge, 0},
		"long, streamed":     {long, int64(len(long)), 1 << 20, nil, 10},
		"long in chunks":     {long, -1, 1 << 20, nil, 10},
		"without a limit":    {long, -1, 0, nil, 10},
		"exactly the buffer": {long[:maxBufferedBody], maxBufferedBody, 1 << 20, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := NewBody(strings.NewReader(c.text), c.length)
			is.Equal(b.Buffer(context.Background(), deadline(), c.limit), c.err)
			if c.err != nil {
				return
			}
			remainder := 0
			if b.Remainder != nil {
				text, err := io.ReadAll(b.Remainder)
				is.NoErr(err)
				remainder = len(text)
			}
			is.Equal(remainder, c.remainder)
			is.Equal(len(b.Buffered)+remainder, len(c.text))
		})
	}
	is := is.New(t)
	b := NewBody(strings.NewReader(strings.Repeat("x", maxBufferedBody+200)), -1)
	is.NoErr(b.Buffer(context.Background(), deadline(), maxBufferedBody+100))
	_, err := io.ReadAll(b.Remainder)
	is.Equal(err, errBodyTooLarge) // a body without a declared length fails at the limit
}

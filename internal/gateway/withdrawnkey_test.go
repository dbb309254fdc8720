package gateway

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// testKey is the key of the caller. It must be in no log.
const testKey = "kvhs7secret"

// holdingLink is a link to a holder that keeps attempts waiting until released.
type holdingLink struct {
	client *SchedulerClient
	mu     sync.Mutex
	asks   []*linkpb.Ask
}

func (l *holdingLink) Send(up *linkpb.Up) bool {
	_, onDown := l.client.NewReceiver()
	for _, a := range up.Asks {
		l.mu.Lock()
		l.asks = append(l.asks, a)
		l.mu.Unlock()
		go onDown(&linkpb.Down{Waiting: []uint64{a.Number}})
	}
	return true
}
func (l *holdingLink) Done() <-chan struct{}      { return nil }
func (l *holdingLink) EncodeTime(time.Time) int64 { return 0 }
func (l *holdingLink) Close()                     {}

// answer decides all attempts so far with the given server, or refuses them if it is empty.
func (l *holdingLink) answer(server string) {
	_, onDown := l.client.NewReceiver()
	for _, a := range l.take() {
		onDown(&linkpb.Down{Verdicts: []*linkpb.Verdict{{Number: a.Number, Server: server, Reason: uint32(placing.ReasonOverload)}}})
	}
}

// take returns the attempts that wait and forgets them.
func (l *holdingLink) take() []*linkpb.Ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	asks := l.asks
	l.asks = nil
	return asks
}

// newTeamRegistry returns a registry that decodes the texts "1", "2" and so on as the given
// configurations, of which the first is in effect, and a function that puts another one in
// effect.
func newTeamRegistry(configs ...*fleet.Config) (*facts.Registry, func(version int)) {
	registry := facts.NewRegistry(func(text []byte) (*fleet.Config, error) { return configs[text[0]-'1'], nil }, nil)
	put := func(version int) {
		registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte{byte('0' + version)}, Revision: uint64(version)}, time.Now())
		registry.ConfirmRead(time.Now())
	}
	put(1)
	servers := []fleet.Server{}
	for _, n := range []string{"a", "b"} {
		servers = append(servers, fleet.Server{Incarnation: fleet.Incarnation{Name: n}, Service: "s", Address: fleet.Address(n), Domain: "d", Slots: 3})
	}
	registry.UpdateListing(fleet.Listing{Servers: servers}, time.Now())
	return registry, put
}

func teamCall(path, key string) *Call {
	call := &Call{ID: "1", Method: "GET", Host: "h", Path: path, Key: placing.NoKey, ArrivedAt: time.Now(), Timeout: 10 * time.Second, Body: NewBody(nil, 0)}
	if key != "" {
		call.Credential = shownKey(key)
	}
	return call
}

// Guards against a request that reaches a server after its key has been withdrawn while it
// waited for a decision or for a connection, against a request that may have run and is
// refused as one that has not, and against a key in the log.
func TestKeyWithdrawnWhileARequestWaits(t *testing.T) {
	with, moved, without := map[string]string{testKey: "t1"}, map[string]string{testKey: "t2"}, map[string]string{}
	lost := AttemptResult{Outcome: placing.Lost}
	for name, c := range map[string]struct {
		next         map[string]string
		decision     string
		inConnecting bool
		first        *AttemptResult
		want         Outcome
		sent         int
		team         string
	}{
		"in the queue":                 {next: without, decision: "a", want: OutcomeUnauthorized},
		"in the queue, then refused":   {next: without, decision: "", want: OutcomeUnauthorized},
		"while connecting":             {next: without, decision: "a", inConnecting: true, want: OutcomeUnauthorized},
		"not withdrawn":                {next: with, decision: "a", want: OutcomeAnswered, sent: 1, team: "t1"},
		"moved to another team":        {next: moved, decision: "a", inConnecting: true, want: OutcomeAnswered, sent: 1, team: "t2"},
		"after an attempt with effect": {next: without, decision: "a", first: &lost, want: OutcomeUnknown, sent: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				registry, put := newTeamRegistry(teamConfig(1, with), teamConfig(2, c.next))
				client := NewSchedulerClient("i", "d", registry, nil)
				l := &holdingLink{client: client}
				client.Attach(l)
				backends := newAnsweringClient()
				if c.first != nil {
					backends.results = append([]AttemptResult{*c.first}, backends.results...)
				}
				var out bytes.Buffer
				log := events.NewLogger(&out)
				g := newGateway(registry, client, backends, log)
				if c.inConnecting || c.first != nil {
					backends.beforeWrite = func() {
						if c.first == nil {
							put(2)
						}
					}
				}
				call := teamCall("/p/x", testKey)
				var reply Reply
				done := make(chan struct{})
				go func() {
					defer close(done)
					reply = g.Handle(context.Background(), call)
				}()
				synctest.Wait()
				is.Equal(len(l.asks), 1)
				is.Equal(l.asks[0].Team, "t1")
				is.Equal(l.asks[0].Priority, int32(1*1024+3)) // the priority of the team goes before that of the route
				if !c.inConnecting && c.first == nil {
					put(2)
				}
				l.answer(c.decision)
				synctest.Wait()
				if c.first != nil { // the second attempt waits
					put(2)
				}
				l.answer(c.decision)
				<-done
				is.Equal(reply.Outcome, c.want)
				is.Equal(len(backends.sent), c.sent)
				if c.team != "" {
					is.Equal(call.Team.Name, c.team)
				}
				log.Close()
				is.True(strings.Contains(out.String(), "call_ended"))
				is.Equal(strings.Contains(out.String(), "call_unauthorized"), c.want == OutcomeUnauthorized)
				is.True(!strings.Contains(out.String(), testKey))
			})
		})
	}
}

// Guards against callers that are let in by old facts, or refused for ever while the
// instance has no configuration, and against a refusal that reads the body first.
func TestUnauthorizedOnArrival(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		want      Outcome
	}{
		"valid key":            {"/p/x", testKey, OutcomeAnswered},
		"no key":               {"/p/x", "", OutcomeUnauthorized},
		"no key, open route":   {"/open/x", "", OutcomeAnswered},
		"wrong key":            {"/p/x", "other", OutcomeUnauthorized},
		"wrong, open route":    {"/open/x", "other", OutcomeUnauthorized},
		"no key, no route":     {"/x", "", OutcomeNoRoute},
		"wrong key, no route":  {"/x", "other", OutcomeUnauthorized},
		"valid key, no route":  {"/x", testKey, OutcomeNoRoute},
		"key of a newer state": {"/p/x", "newer", OutcomeAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				registry, put := newTeamRegistry(teamConfig(1, map[string]string{}), teamConfig(2, map[string]string{testKey: "t1", "newer": "t1"}))
				backends := newAnsweringClient()
				g := newGateway(registry, NewSchedulerClient("i", "d", registry, nil), backends, nil)
				g.check.refresher = fakeRefresher(func() bool { put(2); return true })
				time.Sleep(2 * maxFactsAge) // the store is read for the first call
				call := teamCall(c.path, c.key)
				unread := &countingReader{}
				call.Body = NewBody(unread, -1)
				is.Equal(g.Handle(t.Context(), call).Outcome, c.want)
				is.Equal(len(backends.sent) == 1, c.want == OutcomeAnswered)
				is.Equal(unread.reads > 0, c.want == OutcomeAnswered)
			})
		})
	}
	is := is.New(t)
	registry := facts.NewRegistry(nil, nil)
	g := newGateway(registry, NewSchedulerClient("i", "d", registry, nil), newAnsweringClient(), nil)
	is.Equal(g.Handle(t.Context(), teamCall("/p/x", "other")).Outcome, OutcomeNotRun) // no configuration yet
	is.True(!g.Sharing(teamCall("/p/x", testKey)).Concurrent)
}

// Guards against requests of unauthorized callers that are processed at the same time.
func TestUnauthorizedCallsDoNotShareAConnection(t *testing.T) {
	is := is.New(t)
	registry, _ := newTeamRegistry(teamConfig(1, map[string]string{testKey: "t1"}))
	g := newGateway(registry, NewSchedulerClient("i", "d", registry, nil), newAnsweringClient(), nil)
	is.True(g.Sharing(teamCall("/p/x", testKey)).Concurrent)
	is.True(g.Sharing(teamCall("/open/x", "")).Concurrent)
	is.True(!g.Sharing(teamCall("/p/x", "")).Concurrent)
	is.True(!g.Sharing(teamCall("/p/x", "other")).Concurrent)
	is.True(!g.Sharing(teamCall("/x", testKey)).Concurrent)
}

// Guards against a caller that is told to return although its key has been withdrawn while its
// request waited for the decision that refuses it by the cap.
func TestKeyWithdrawnBeforeRefusalByCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		registry, put := newTeamRegistry(teamConfig(1, map[string]string{testKey: "t1"}), teamConfig(2, map[string]string{}))
		client := NewSchedulerClient("i", "d", registry, nil)
		l := &holdingLink{client: client}
		client.Attach(l)
		log := events.NewLogger(new(bytes.Buffer))
		defer log.Close()
		g := newGateway(registry, client, newAnsweringClient(), log)
		replies := make(chan Reply, 1)
		go func() { replies <- g.Handle(context.Background(), teamCall("/p/x", testKey)) }()
		synctest.Wait()
		put(2)
		_, onDown := client.NewReceiver()
		for _, a := range l.take() {
			onDown(&linkpb.Down{Verdicts: []*linkpb.Verdict{{Number: a.Number, Reason: uint32(placing.ReasonTeamCap)}}})
		}
		is.Equal((<-replies).Outcome, OutcomeUnauthorized)
	})
}

package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// maxLeavingTime is how long after the store has acknowledged that a server is leaving it
// may still get requests, by the platform's pages.
const maxLeavingTime = 2 * time.Second

// upload returns a call of the route of newRegistry that arrives now.
func upload() *Call {
	return &Call{ID: "1", Method: "POST", Host: "h", Path: "/p/x", Key: placing.NoKey, ArrivedAt: time.Now(), Timeout: time.Second, Body: NewBody(nil, 0)}
}

// Guards against requests that reach a leaving server because this instance has not heard
// of the store for longer than such a server may get requests, whoever has placed them.
func TestNothingIsSentByOldFacts(t *testing.T) {
	for name, linked := range map[string]bool{"placed by the holder": true, "placed locally": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				registry := newRegistry(fleet.KindUpload)
				registry.ConfirmRead(time.Now())
				client := NewSchedulerClient("i", "d", registry, nil)
				if linked {
					client.Attach(&roundRobinLink{client: client, servers: []string{"a", "b", "c"}})
				}
				backends := newAnsweringClient()
				g := newGateway(registry, client, backends, nil)
				time.Sleep(maxLeavingTime)
				reply := g.Handle(t.Context(), upload())
				is.Equal(reply.Outcome, OutcomeNotRun)
				is.Equal(len(backends.sent), 0)
			})
		})
	}
}

// Guards against refusals while the store, or the server itself, can tell that the server
// takes new work, against a request to a server of which they tell that it does not, and
// against a health check for each request.
func TestOldFactsAreRefreshed(t *testing.T) {
	for name, c := range map[string]struct {
		storeRead, leaving, serving bool
		noHealthCheck               bool
		answered                    bool
		checks                      int
	}{
		"the store has the server":                    {storeRead: true, answered: true},
		"the store says that it leaves":               {storeRead: true, leaving: true},
		"no store, the server takes requests":         {serving: true, answered: true, checks: 1},
		"no store, the server takes no more requests": {checks: 1},
		"no store, a service without health checks":   {noHealthCheck: true, answered: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				registry := newRegistry(fleet.KindUpload)
				client := NewSchedulerClient("i", "d", registry, nil)
				l := &recordingLink{roundRobinLink: roundRobinLink{client: client, servers: []string{"a"}}}
				client.Attach(l)
				backends := newAnsweringClient()
				g := newGateway(registry, client, backends, nil)
				if c.noHealthCheck {
					registry.Snapshot().Config.Services["s"].HealthPath = ""
				}
				prober := &fakeProber{name: "a", serving: c.serving}
				g.check.prober = prober
				g.check.refresher = fakeRefresher(func() bool {
					if c.storeRead {
						server := *registry.Snapshot().Server("a")
						server.Leaving = c.leaving
						registry.UpdateListing(fleet.Listing{Servers: []fleet.Server{server}}, time.Now())
						registry.ConfirmRead(time.Now())
					}
					return c.storeRead
				})
				time.Sleep(maxLeavingTime)
				for range 3 {
					is.Equal(g.Handle(t.Context(), upload()).Outcome == OutcomeAnswered, c.answered)
				}
				is.Equal(len(backends.sent) > 0, c.answered)
				is.Equal(prober.checks, c.checks)
				is.Equal(l.reports(placing.Unreached) > 0, !c.storeRead && !c.answered) // so that the holder spares it
				time.Sleep(maxLeavingTime)                                              // what was learned is old again
				is.Equal(g.Handle(t.Context(), upload()).Outcome == OutcomeAnswered, c.answered)
				is.Equal(prober.checks, 2*c.checks)
			})
		})
	}
}

// Guards against health checks of servers, or refusals, although responses have shown that a
// server is not leaving, to this instance or to another one, and against words that count for
// longer than facts do, or that count although the server has refused new work since.
func TestResponsesShowThatAServerIsNotLeaving(t *testing.T) {
	incarnation := fleet.Incarnation{Name: "a"}
	for name, c := range map[string]struct {
		heardAgo, wordAgo time.Duration // 0 for never
		refuses           bool
		recent            bool
	}{
		"never heard":                           {},
		"heard by another instance":             {heardAgo: maxFactsAge, recent: true},
		"heard by another instance, long ago":   {heardAgo: maxFactsAge + 1},
		"heard here":                            {wordAgo: maxFactsAge, recent: true},
		"heard here, long ago":                  {wordAgo: maxFactsAge + 1},
		"heard by another, later refused here":  {heardAgo: time.Second, wordAgo: time.Second - 1, refuses: true},
		"refused here, later heard by another":  {heardAgo: time.Second, wordAgo: time.Second + 1, refuses: true, recent: true},
		"heard by another, no answer here":      {heardAgo: time.Second, wordAgo: time.Millisecond, recent: true},
		"no answer here, never heard otherwise": {wordAgo: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newGateway(newRegistry(fleet.KindUpload), nil, nil, nil)
				time.Sleep(2 * maxLeavingTime)
				now := time.Now()
				heardAt := time.Time{}
				if c.heardAgo > 0 {
					heardAt = now.Add(-c.heardAgo)
				}
				if c.wordAgo > 0 {
					unanswered := !c.refuses && c.wordAgo == time.Millisecond
					word := serverWord{askedAt: now.Add(-c.wordAgo), refuses: c.refuses}
					if !c.refuses && !unanswered {
						word.serving = evidenceResponse
					}
					g.check.words.Store(incarnation, word)
				}
				is.Equal(g.check.isRecent(incarnation, heardAt, now), c.recent)
				g.check.hear(incarnation, now.Add(-time.Hour)) // a slow response takes nothing back
				is.Equal(g.check.isRecent(incarnation, heardAt, now), c.recent)
				g.check.hear(incarnation, now)
				is.True(g.check.isRecent(incarnation, heardAt, now))
			})
		})
	}
}

// Guards against a request that is written to a server of which the store has said while
// the instance made a connection that it leaves. It has not run, so it is placed again.
func TestServerThatLeavesWhileItIsConnectedGetsNoRequest(t *testing.T) {
	is := is.New(t)
	registry := newRegistry(fleet.KindUpload)
	client := NewSchedulerClient("i", "d", registry, nil)
	client.Attach(&roundRobinLink{client: client, servers: []string{"a", "b"}})
	backends := newAnsweringClient()
	backends.beforeWrite = func() {
		server := *registry.Snapshot().Server("b")
		registry.UpdateListing(fleet.Listing{Servers: []fleet.Server{server}}, time.Now())
	}
	g := newGateway(registry, client, backends, nil)
	is.Equal(g.Handle(t.Context(), upload()).Outcome, OutcomeAnswered)
	is.Equal(backends.sent, []string{"b"})
}

// Guards against an instance that handles requests by an old configuration although it can
// read the store: between two holders it went by what the last one had sent.
func TestOldConfigurationIsRefreshed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		registry := newRegistry(fleet.KindUpload)
		g := newGateway(registry, NewSchedulerClient("i", "d", registry, nil), &scriptedClient{}, nil)
		g.check.refresher = fakeRefresher(func() bool {
			registry.ConfirmRead(time.Now())
			return registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("next"), Revision: 1}, time.Now())
		})
		time.Sleep(maxFactsAge)
		call := upload()
		call.Path = "/removed/x"
		is.Equal(g.Handle(t.Context(), call).Outcome, OutcomeNoRoute)
		is.Equal(string(registry.Snapshot().OperatorSettings.Config), "c") // recent enough
		time.Sleep(time.Millisecond)
		g.Handle(t.Context(), call)
		is.Equal(string(registry.Snapshot().OperatorSettings.Config), "next")
	})
}

// Guards against words of servers that are kept for as long as the process runs.
func TestOldWordsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGateway(newRegistry(fleet.KindUpload), nil, nil, nil)
		time.Sleep(maxLeavingTime)
		for n := range 100 {
			g.check.hear(fleet.Incarnation{Name: "a", StartMS: int64(n)}, time.Now())
			time.Sleep(maxFactsAge / 10)
		}
		kept := 0
		g.check.words.Range(func(any, any) bool { kept++; return true })
		is.True(kept > 0 && kept <= 21) // those of two times maxFactsAge
	})
}

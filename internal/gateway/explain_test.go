package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/credential"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// explainCase is one state of an instance, and the refusal that follows from it.
type explainCase struct {
	linked bool
	// prepare changes the facts, of which the configuration has the team t with key testKey.
	prepare func(*Gateway, *facts.Registry)
	path    string
	shown   credential.Credential
	key     int
	want    Outcome
	// detail is that of the refusal, where it is the same for Handle.
	detail string
}

// listServers replaces the listed servers a, b and c by changed ones.
func listServers(registry *facts.Registry, change func(*fleet.Server)) {
	servers := append([]fleet.Server(nil), registry.Snapshot().Servers...)
	for i := range servers {
		change(&servers[i])
	}
	registry.UpdateListing(fleet.Listing{Servers: servers}, time.Now())
}

// own makes the service keyed and all its keys those of server a.
func own(registry *facts.Registry, held bool) {
	registry.Snapshot().Config.Services["s"].Keyed = true
	registry.UpdateOwners(map[string][]owners.OwnedRange{"s": {{Interval: owners.Interval{From: 0, To: 65535}, Owner: "a", Held: held}}}, 1)
}

// Guards against an explanation that tells another answer than a request gets by the same
// facts, for each reason to refuse one.
func TestExplanationIsWhatHandleDoes(t *testing.T) {
	known := credential.Credential{Given: true, Digest: fleet.DigestKey(testKey)}
	nothing := func(*Gateway, *facts.Registry) {}
	for name, c := range map[string]explainCase{
		"placed by the holder": {linked: true, prepare: nothing, shown: known, want: OutcomeAnswered},
		"placed locally":       {prepare: nothing, shown: known, want: OutcomeAnswered},
		"no configuration": {prepare: func(g *Gateway, _ *facts.Registry) {
			empty := facts.NewRegistry(nil, nil)
			g.registry, g.check.registry = empty, empty
		}, want: OutcomeNotRun, detail: "no configuration yet"},
		"no key":        {prepare: nothing, want: OutcomeUnauthorized, detail: "key missing on arrival"},
		"malformed key": {prepare: nothing, shown: credential.Credential{Given: true, Malformed: true}, want: OutcomeUnauthorized, detail: "key malformed on arrival"},
		"unknown key":   {prepare: nothing, shown: credential.Credential{Given: true}, want: OutcomeUnauthorized, detail: "key unknown on arrival"},
		"no route":      {prepare: nothing, shown: known, path: "/q", want: OutcomeNoRoute, detail: "no route"},
		"stopping":      {prepare: func(g *Gateway, _ *facts.Registry) { g.StopAt(time.Now()) }, shown: known, want: OutcomeNotRun, detail: replyStopping.Detail},
		"all servers leave, holder": {linked: true, prepare: func(_ *Gateway, r *facts.Registry) {
			listServers(r, func(s *fleet.Server) { s.Leaving = true })
		}, shown: known, want: OutcomeNotRun},
		"all servers leave": {prepare: func(_ *Gateway, r *facts.Registry) {
			listServers(r, func(s *fleet.Server) { s.Leaving = true })
		}, shown: known, want: OutcomeNotRun, detail: "no-holder"},
		"failure domain taken out": {prepare: func(_ *Gateway, r *facts.Registry) {
			settings := r.Snapshot().OperatorSettings
			settings.DomainsOut, settings.Revision = []string{"d"}, settings.Revision+1
			r.UpdateOperatorSettings(settings, time.Now())
		}, shown: known, want: OutcomeNotRun, detail: "no-holder"},
		"all servers pause": {prepare: func(_ *Gateway, r *facts.Registry) {
			for _, s := range r.Snapshot().Servers {
				r.ObserveSignal(s.Incarnation, backpressure.Signal{Pause: time.Minute, SentAt: time.Now()}, time.Now())
			}
		}, shown: known, want: OutcomeNotRun, detail: "no-holder"},
		"all servers cold": {prepare: func(_ *Gateway, r *facts.Registry) {
			listServers(r, func(s *fleet.Server) { s.ColdUntil = time.Now().Add(time.Minute) })
		}, shown: known, want: OutcomeNotRun, detail: "no-holder"},
		"all servers busy": {prepare: func(g *Gateway, _ *facts.Registry) {
			for _, s := range []string{"a", "b", "c"} {
				g.scheduler.local.inFlightCounter(s).Store(maxLocalInFlight)
			}
		}, shown: known, want: OutcomeNotRun, detail: "no-holder"},
		"all servers in backoff": {prepare: func(g *Gateway, _ *facts.Registry) {
			for _, s := range []string{"a", "b", "c"} {
				g.scheduler.local.failures.add(time.Now(), s)
			}
		}, shown: known, want: OutcomeAnswered},
		"owner":            {prepare: func(_ *Gateway, r *facts.Registry) { own(r, true) }, shown: known, key: 7, want: OutcomeAnswered},
		"key moves":        {prepare: func(_ *Gateway, r *facts.Registry) { own(r, false) }, shown: known, key: 7, want: OutcomeNotRun, detail: "no-holder"},
		"key has no owner": {prepare: func(_ *Gateway, r *facts.Registry) { r.Snapshot().Config.Services["s"].Keyed = true }, shown: known, key: 7, want: OutcomeNotRun, detail: "no-holder"},
		"owner in backoff": {prepare: func(g *Gateway, r *facts.Registry) {
			own(r, true)
			g.scheduler.local.failures.add(time.Now(), "a")
		}, shown: known, key: 7, want: OutcomeNotRun, detail: "no-holder"},
		"owner's limit": {prepare: func(_ *Gateway, r *facts.Registry) {
			own(r, true)
			r.ObserveSignal(fleet.Incarnation{Name: "a"}, backpressure.Signal{Limit: backpressure.Limit{Named: true, PerSecond: 1}, SentAt: time.Now()}, time.Now())
		}, shown: known, key: 7, want: OutcomeNotRun, detail: "no-holder"},
		"usage cap": {prepare: func(g *Gateway, r *facts.Registry) {
			g.scheduler.local.teams.tell(time.Now(), teamsOf(r.Snapshot()), "t", usagecap.Allowance{Rate: 0.01, Burst: 1, Part: 0.5})
		}, shown: known, want: OutcomeOverCap, detail: "team-cap"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { explainAndHandle(t, c) })
		})
	}
}

func explainAndHandle(t *testing.T, c explainCase) {
	is := is.New(t)
	registry := newRegistry(fleet.KindIdempotent)
	registry.Snapshot().Config.Teams = fleet.NewTeams([]*fleet.Team{{Name: "t", Cap: fleet.Cap{Rate: 1000, Burst: 100000}}}, map[fleet.KeyDigest]string{fleet.DigestKey(testKey): "t"})
	client := NewSchedulerClient("i", "d", registry, nil)
	if c.linked {
		client.Attach(&roundRobinLink{client: client, servers: []string{"a", "b", "c"}})
	}
	backends := newAnsweringClient()
	g := newGateway(registry, client, backends, nil)
	c.prepare(g, registry)
	if c.path == "" {
		c.path = "/p/x"
	}
	if c.key == 0 {
		c.key = placing.NoKey
	}
	var e Explanation
	for range 3 { // an explanation changes nothing for the next one
		var err error
		e, err = g.Explain(time.Now(), ExplainRequest{Method: "GET", Host: "h", Path: c.path, Key: c.key, Credential: c.shown})
		is.NoErr(err)
	}
	is.Equal(len(backends.sent), 0)
	_, counted := g.shareCounters.Load("r")
	is.True(!counted)
	refusal := e.Refusal
	if refusal == nil && len(e.Services) > 0 {
		refusal = e.Services[0].Refusal
	}
	reply := g.Handle(t.Context(), &Call{ID: "1", Method: "GET", Host: "h", Path: c.path, Header: http.Header{}, Key: c.key, Credential: c.shown, ArrivedAt: time.Now(), Timeout: time.Second, Body: NewBody(nil, 0)})
	is.Equal(reply.Outcome, c.want)
	is.Equal(refusal == nil, c.want == OutcomeAnswered)
	if refusal != nil {
		is.Equal(refusal.Outcome, c.want)
	}
	if c.detail != "" {
		is.Equal(refusal.Detail, c.detail)
		is.Equal(reply.Detail, c.detail)
	}
}

// Guards against an explanation that promises a second attempt to a request that may run only
// once, or one that only a holder can allow.
func TestExplanationOfRetries(t *testing.T) {
	for name, c := range map[string]struct {
		kind         fleet.RequestKind
		linked       bool
		notRun, lost bool
	}{
		"idempotent":            {fleet.KindIdempotent, true, true, true},
		"non-idempotent":        {fleet.KindNonIdempotent, true, true, false},
		"idempotent, no holder": {fleet.KindIdempotent, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			registry := newRegistry(c.kind)
			client := NewSchedulerClient("i", "d", registry, nil)
			if c.linked {
				client.Attach(&roundRobinLink{client: client, servers: []string{"a"}})
			}
			e, err := newGateway(registry, client, newAnsweringClient(), nil).Explain(time.Now(), ExplainRequest{Host: "h", Path: "/p/x", Key: placing.NoKey})
			is.NoErr(err)
			is.Equal(e.RetryIfNotRun, c.notRun)
			is.Equal(e.RetryIfLost, c.lost)
			is.Equal(len(e.Services[0].Servers), 3)
		})
	}
}

// Guards against an unknown team that is explained as an anonymous request.
func TestExplanationOfUnknownTeam(t *testing.T) {
	is := is.New(t)
	registry := newRegistry(fleet.KindIdempotent)
	g := newGateway(registry, NewSchedulerClient("i", "d", registry, nil), newAnsweringClient(), nil)
	_, err := g.Explain(time.Now(), ExplainRequest{Host: "h", Path: "/p/x", Key: placing.NoKey, Team: "nobody"})
	is.Equal(err, ErrUnknownTeam)
}

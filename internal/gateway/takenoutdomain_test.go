package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backhttp"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/store"
)

// maxDomainOutTime is how long after the store has acknowledged that a failure domain is taken
// out its servers may still get requests, by the platform's pages.
const maxDomainOutTime = 5 * time.Second

// domainSource is a store in which the failure domain "d" is taken out. It refuses all reads until
// refusesUntil, and takes a while for the configuration.
type domainSource struct {
	servers      []fleet.Server
	refusesUntil time.Time
	configTime   time.Duration
	reads        atomic.Int64
}

func (s *domainSource) refusal() error {
	s.reads.Add(1)
	if time.Now().Before(s.refusesUntil) {
		return store.Fail(store.ErrUnavailable, nil)
	}
	return nil
}

func (s *domainSource) OperatorSettings(ctx context.Context) (fleet.OperatorSettings, error) {
	if err := s.refusal(); err != nil {
		return fleet.OperatorSettings{}, err
	}
	select {
	case <-time.After(s.configTime):
	case <-ctx.Done():
		return fleet.OperatorSettings{}, store.Fail(store.ErrUnavailable, ctx.Err())
	}
	return fleet.OperatorSettings{Revision: 2, Config: []byte("c"), DomainsOut: []string{"d"}}, nil
}

func (s *domainSource) DomainsOut(context.Context) (fleet.DomainsOut, error) {
	return fleet.DomainsOut{Revision: 2, Domains: []string{"d"}}, s.refusal()
}

func (s *domainSource) Listing(context.Context) (fleet.Listing, error) {
	return fleet.Listing{Revision: 2, Servers: s.servers}, s.refusal()
}

// Guards against an instance without a holder that goes on to send requests to a failure domain
// that was taken out, because its servers answer, after the store has refused one reading or while
// a long configuration cannot be read in time.
func TestDomainTakenOutGetsNothingFromAnInstanceWithoutAHolder(t *testing.T) {
	for name, c := range map[string]struct {
		refusesFor, configTime time.Duration
	}{
		"the store refuses the first reading": {refusesFor: 2 * time.Second},
		"the store refuses several":           {refusesFor: 3500 * time.Millisecond},
		"the configuration is long":           {configTime: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				takenOutAt := time.Now()
				registry := newRegistry(fleet.KindUpload)
				source := &domainSource{refusesUntil: takenOutAt.Add(c.refusesFor), configTime: c.configTime}
				for i, domain := range []string{"d", "e"} {
					source.servers = append(source.servers, fleet.Server{Incarnation: fleet.Incarnation{Name: string(rune('a' + i))}, Service: "s", Domain: domain, Slots: 3})
				}
				registry.UpdateListing(fleet.Listing{Revision: 1, Servers: source.servers}, takenOutAt)
				served := map[string]int{}
				backends := &respondingClient{onSend: func(server *fleet.Server) {
					served[server.Domain]++
					if late := time.Since(takenOutAt) - maxDomainOutTime; server.Domain == "d" && late > 0 {
						t.Fatalf("a request was sent to the domain %s too late", late)
					}
				}}
				g := newGateway(registry, NewSchedulerClient("i", "d", registry, &fakeProber{}), backends, nil)
				reader, backoff := facts.NewReader(source, registry, nil), facts.Backoff{
					InFleet: func() time.Duration { return 15 * time.Second }, // as in a fleet of 72 instances
					Alone:   func() time.Duration { return time.Second },
					IsAlone: func() bool { return true },
				}
				g.check.refresher = facts.NewOnDemand(reader, backoff, func() {})
				g.check.domains = facts.NewDomainsOnDemand(reader, backoff)
				for time.Since(takenOutAt) < 3*maxDomainOutTime {
					g.Handle(t.Context(), upload())
					time.Sleep(20 * time.Millisecond)
				}
				is.True(served["d"] > 0) // before the instance could know
				is.True(served["e"] > 500)
				is.True(source.reads.Load() < 200) // the store is not asked for each request
				time.Sleep(maxDomainOutTime)       // until the last reading has ended
			})
		})
	}
}

// Guards against the first requests after a while without any, which an instance without a holder
// sent to a domain that had been taken out long before: a health check was faster than the reading.
func TestFirstRequestAfterAWhileSparesADomainTakenOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		registry := newRegistry(fleet.KindUpload)
		source := &domainSource{configTime: 500 * time.Millisecond, servers: registry.Snapshot().Servers}
		for i := range source.servers {
			source.servers[i].Domain = "d"
		}
		registry.UpdateListing(fleet.Listing{Revision: 1, Servers: source.servers}, time.Now())
		prober := &fakeProber{name: "a", serving: true}
		backends := &respondingClient{onSend: func(*fleet.Server) { t.Error("a request was sent to the domain") }}
		g := newGateway(registry, NewSchedulerClient("i", "d", registry, prober), backends, nil)
		g.check.prober = prober
		reader, backoff := facts.NewReader(source, registry, nil), facts.Backoff{
			InFleet: func() time.Duration { return time.Second },
			Alone:   func() time.Duration { return time.Second },
			IsAlone: func() bool { return true },
		}
		g.check.refresher = facts.NewOnDemand(reader, backoff, func() {})
		g.check.domains = facts.NewDomainsOnDemand(reader, backoff)
		time.Sleep(2 * maxDomainOutTime)
		for range 30 {
			is.Equal(g.Handle(t.Context(), upload()).Outcome, OutcomeNotRun)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(maxDomainOutTime) // until the last reading has ended
	})
}

// respondingClient answers each call at once, with a response that shows that the server is not
// leaving.
type respondingClient struct {
	onSend func(*fleet.Server)
}

func (c *respondingClient) Send(_ context.Context, server *fleet.Server, _ *Call, _ time.Time, mayWrite func() bool) AttemptResult {
	if !mayWrite() {
		return AttemptResult{Outcome: placing.Unused}
	}
	c.onSend(server)
	return AttemptResult{Outcome: placing.Answered, Response: &backhttp.Response{Status: 200}, Open: true}
}

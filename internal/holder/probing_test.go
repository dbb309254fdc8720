package holder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// countingProber counts the health checks.
type countingProber struct{ checks chan string }

func (p countingProber) Health(_ context.Context, server fleet.Server, _ string) (fleet.Health, error) {
	p.checks <- server.Name
	return fleet.Health{Server: server.Name}, nil
}

// Guards against a server that turns cold while the store is out and gets more than it can
// run, because its average capacity is less than twice its cold rate.
func TestServersThatMayExceedTheirColdRateAreProbed(t *testing.T) {
	const capacity = 20.0 // of 3 slots, at the service time that is assumed before the first response
	for _, tc := range []struct {
		name     string
		coldRate float64
		probed   bool
	}{
		{"far above the cold rate", capacity / 3, true},
		{"somewhat above the cold rate", capacity / 1.5, true},
		{"below the cold rate", capacity * 1.5, false},
		{"never cold", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registry := facts.NewRegistry(func([]byte) (*fleet.Config, error) {
					return fleet.NewConfig(1, []*fleet.Service{{Name: "s", HealthPath: "/health", ColdRate: tc.coldRate}}, nil, fleet.Limits{}), nil
				}, nil)
				now := time.Now()
				registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("c")}, now)
				registry.UpdateListing(fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "a"}, Service: "s", Address: "a", Slots: 3}}}, now)
				registry.ConfirmRead(now.Add(-2 * probeAfterReadAge))
				table := owners.NewTable(owners.Record{}, "h", now)
				prober := countingProber{checks: make(chan string, 1)}
				c := &Coordinator{
					registry: registry, queue: make(chan func(), eventQueueSize), ctx: t.Context(), table: table, prober: prober,
					probing: map[fleet.Incarnation]bool{}, scheduler: placing.New(placing.RetryBudget{Window: time.Second}, table, rand.New(rand.NewPCG(1, 2))),
				}
				c.refresh(now)
				c.probeServers(now)
				synctest.Wait()
				is.New(t).Equal(len(prober.checks) == 1, tc.probed)
			})
		})
	}
}

// hangingProber answers no health check.
type hangingProber struct{}

func (hangingProber) Health(ctx context.Context, _ fleet.Server, _ string) (fleet.Health, error) {
	<-ctx.Done()
	return fleet.Health{}, ctx.Err()
}

// Guards against a holder that opens a connection to each of thousands of servers at the same
// time, and against servers that are never probed because others do not answer.
func TestProbesUnderWayAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		registry := facts.NewRegistry(func([]byte) (*fleet.Config, error) {
			return fleet.NewConfig(1, []*fleet.Service{{Name: "s", HealthPath: "/health", ColdRate: 5}}, nil, fleet.Limits{}), nil
		}, nil)
		now := time.Now()
		var servers []fleet.Server
		for n := range 3 * maxProbes {
			servers = append(servers, fleet.Server{Incarnation: fleet.Incarnation{Name: fmt.Sprint("s", n)}, Service: "s", Address: "a", Slots: 3})
		}
		registry.UpdateOperatorSettings(fleet.OperatorSettings{Config: []byte("c")}, now)
		registry.UpdateListing(fleet.Listing{Servers: servers}, now)
		registry.ConfirmRead(now.Add(-2 * probeAfterReadAge))
		table := owners.NewTable(owners.Record{}, "h", now)
		c := &Coordinator{
			registry: registry, queue: make(chan func(), eventQueueSize), ctx: t.Context(), table: table, prober: hangingProber{},
			probing: map[fleet.Incarnation]bool{}, scheduler: placing.New(placing.RetryBudget{Window: time.Second}, table, rand.New(rand.NewPCG(1, 2))),
		}
		c.refresh(now)
		probed := map[string]bool{}
		for range 40 {
			c.probeServers(time.Now())
			is.True(len(c.probing) <= maxProbes)
			for server := range c.probing {
				probed[server.Name] = true
			}
			time.Sleep(tickInterval)
			synctest.Wait()
			c.drainQueue()
		}
		is.Equal(len(probed), len(servers))
	})
}

package holder

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// probe asks the servers themselves whether they have turned cold while the store,
// which tells it otherwise, is silent. Only servers are asked that may get far more
// than they bear when they are cold.
func (a *Actor) probe(now time.Time) {
	age, known := a.board.Age(now)
	if a.seen == nil || !known || age < probeAfter || now.Sub(a.probedAt) < probeEvery {
		return
	}
	a.probedAt = now
	for _, server := range a.seen.Servers {
		service := a.seen.Config.Services[server.Service]
		if service == nil || service.HealthPath == "" || !a.seen.Usable(&server) || a.probing[server.Life] {
			continue
		}
		if a.placer.Capacity(now, &server) > probeRatio*service.ColdRate && service.ColdRate > 0 {
			a.ask(server, service.HealthPath)
		}
	}
}

// ask probes one server in the background.
func (a *Actor) ask(server fleet.Server, path string) {
	a.probing[server.Life] = true
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
		health, err := a.prober.Health(ctx, server, path)
		cancel()
		answered := time.Now()
		a.post(func() {
			delete(a.probing, server.Life)
			if err != nil || health.Server != server.Name || health.ColdFor <= 0 {
				return // a server that does not answer is noticed by its requests
			}
			if a.placer.ReportColdStart(server.Service, server.Life, answered.Add(health.ColdFor)) {
				a.log.Emit(events.ServerCold, "server", server.Name, "service", server.Service, "cold_ms", health.ColdFor.Milliseconds())
			}
		})
	}()
}

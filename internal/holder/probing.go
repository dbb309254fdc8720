package holder

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// probeServers asks the servers themselves whether they have turned cold while the store,
// which tells it otherwise, is silent. Only servers are asked that may get far more
// than they bear when they are cold.
func (c *Coordinator) probeServers(now time.Time) {
	age, known := c.board.Age(now)
	if c.snapshot == nil || !known || age < probeAfterReadAge || now.Sub(c.probedAt) < probeInterval {
		return
	}
	c.probedAt = now
	for _, server := range c.snapshot.Servers {
		service := c.snapshot.Config.Services[server.Service]
		if service == nil || service.HealthPath == "" || !c.snapshot.Usable(&server) || c.probing[server.Life] {
			continue
		}
		if c.placer.Bears(now, &server) > probeCapacityRatio*service.ColdRate && service.ColdRate > 0 {
			c.probeServer(server, service.HealthPath)
		}
	}
}

// probeServer probes one server in the background.
func (c *Coordinator) probeServer(server fleet.Server, path string) {
	c.probing[server.Life] = true
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		health, err := c.prober.Health(ctx, server, path)
		cancel()
		answered := time.Now()
		c.enqueue(func() {
			delete(c.probing, server.Life)
			if err != nil || health.Server != server.Name || health.ColdFor <= 0 {
				return // a server that does not answer is noticed by its requests
			}
			if c.placer.TurnedCold(server.Service, server.Life, answered.Add(health.ColdFor)) {
				c.log.Emit(events.ServerCold, "server", server.Name, "service", server.Service, "cold_ms", health.ColdFor.Milliseconds())
			}
		})
	}()
}

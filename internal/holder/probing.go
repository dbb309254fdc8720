package holder

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// probeServers asks servers directly whether they are cold again after a restart. It
// does so while the store, which normally shows this, has not been read for a while.
// Only servers that could receive far more requests than they can run when cold are
// probed, and at most maxProbes at a time; the next tick continues a round that this has stopped.
func (c *Coordinator) probeServers(now time.Time) {
	age, known := c.registry.Age(now)
	if c.snapshot == nil || !known || age < probeAfterReadAge {
		return
	}
	servers := c.snapshot.Servers
	if c.probesLeft == 0 {
		if now.Sub(c.probedAt) < probeInterval {
			return
		}
		c.probedAt, c.probesLeft = now, len(servers)
	}
	for ; c.probesLeft > 0 && len(servers) > 0; c.probesLeft-- {
		if len(c.probing) >= maxProbes {
			return
		}
		server := servers[(c.probesLeft-1)%len(servers)]
		service := c.snapshot.Config.Services[server.Service]
		if service == nil || service.HealthPath == "" || !c.snapshot.MaySend(&server, now) || c.probing[server.Incarnation] {
			continue
		}
		if c.scheduler.Capacity(now, &server) > probeCapacityRatio*service.ColdRate && service.ColdRate > 0 {
			c.probeServer(server, service.HealthPath)
		}
	}
}

// probeServer probes one server in a goroutine of its own.
func (c *Coordinator) probeServer(server fleet.Server, path string) {
	c.probing[server.Incarnation] = true
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		health, err := c.prober.Health(ctx, server, path)
		cancel()
		answeredAt := time.Now()
		c.enqueue(func() {
			delete(c.probing, server.Incarnation)
			if err != nil || health.Server != server.Name || health.ColdRemaining <= 0 {
				return // the requests to a server that does not respond will show that
			}
			if c.scheduler.ReportColdStart(server.Service, server.Incarnation, answeredAt.Add(health.ColdRemaining)) {
				c.log.Emit(events.ServerCold, "server", server.Name, "service", server.Service, "cold_ms", health.ColdRemaining.Milliseconds())
			}
		})
	}()
}

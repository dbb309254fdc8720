package shard

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// updateConfig applies a new configuration.
func (c *coordinator) updateConfig(now time.Time) {
	next := c.options.Config.Get()
	if next == c.config {
		return
	}
	c.config = next
	known := map[string]bool{}
	for _, server := range next.Servers {
		known[server.Name] = true
		c.updateServer(server, now)
	}
	for name, s := range c.servers {
		s.removed = !known[name]
	}
	c.nextPlanAt = now
	c.viewDirty = true
}

// updateServer connects to a new server, or applies changed settings of a known one. A
// changed address is treated as another server.
func (c *coordinator) updateServer(server ServerConfig, now time.Time) {
	s := c.servers[server.Name]
	switch {
	case s == nil:
		c.connectServer(server, now)
	case s.config.Address != server.Address:
		c.dropServer(s)
		c.connectServer(server, now)
	default:
		c.handleOutOfServiceChange(s, server)
		s.config = server
	}
}

// handleOutOfServiceChange logs that the settings took the server out of service or
// back into service. A server that returns starts cold.
func (c *coordinator) handleOutOfServiceChange(s *managedServer, server ServerConfig) {
	if s.config.OutOfService == server.OutOfService {
		return
	}
	c.options.Log.Emit(events.ServerStateChanged, "shard", c.options.Shard.String(), "server", server.Name, "server_domain", server.Domain, "out", server.OutOfService)
	if !server.OutOfService {
		s.limiter.MarkCold("back in service")
	}
}

// connectServer starts the sender of a server. Its first call reads the server's clock.
func (c *coordinator) connectServer(server ServerConfig, now time.Time) {
	target := c.options.NewTarget(server)
	s := &managedServer{
		config:            server,
		target:            target,
		limiter:           c.options.LimiterFor(target),
		calls:             make(chan call, 1),
		nextCallAt:        now,
		ordersAllowedFrom: c.tenure.Since,
	}
	if !server.ChecksTokens {
		s.ordersAllowedFrom = c.tenure.Since.Add(c.config.MaxDeliveryTime)
	}
	c.servers[server.Name] = s
	ctx, stop := context.WithCancel(c.ctx)
	s.stopSender = stop
	snd := &sender{server: s, tenures: c.options.Tenures, results: c.callResults}
	c.runtime.goroutines.Go(func() { snd.run(ctx) })
}

// dropServer stops the sender of a server, and keeps track of its grants until they
// have expired.
func (c *coordinator) dropServer(s *managedServer) {
	s.stopSender()
	s.stopSender = nil
	delete(c.servers, s.config.Name)
	c.retiredGrants = append(c.retiredGrants, &s.grants)
	c.grantRangesDirty = true
	c.viewDirty = true
}

// dropRemovedServers drops the servers that have been removed from the settings and own
// nothing.
func (c *coordinator) dropRemovedServers(now time.Time) {
	for _, s := range c.servers {
		if s.removed && len(s.grantRanges) == 0 && !s.grants.AllFreeBy().After(now) {
			c.dropServer(s)
		}
	}
	c.pruneRetiredGrants(now)
}

// pruneRetiredGrants drops the trackers of servers that provably own nothing.
func (c *coordinator) pruneRetiredGrants(now time.Time) {
	keep := c.retiredGrants[:0:0]
	for _, tracker := range c.retiredGrants {
		if tracker.AllFreeBy().After(now) {
			keep = append(keep, tracker)
		}
	}
	c.retiredGrants = keep
}

// updateOrdersAllowed marks the servers whose wait after the takeover has ended.
func (c *coordinator) updateOrdersAllowed(now time.Time) {
	for _, s := range c.servers {
		if s.ordersAllowed {
			continue
		}
		if now.Before(s.ordersAllowedFrom) {
			c.wakeTime.add(s.ordersAllowedFrom)
			continue
		}
		s.ordersAllowed = true
		c.viewDirty = true
	}
}

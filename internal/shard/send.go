package shard

import (
	"errors"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/grant"
	"peridotmoor.org/peridotmoor/internal/key"
)

// sendDueCalls makes the calls that are due: a grant when the ranges of a server have
// changed or its grant must be renewed, or else a call that reads its clock.
func (c *coordinator) sendDueCalls(now time.Time) {
	c.rebuildGrantRanges()
	for _, s := range c.servers {
		c.sendToServer(s, now)
	}
}

func (c *coordinator) sendToServer(s *managedServer, now time.Time) {
	if s.callInFlight {
		return
	}
	due := !now.Before(s.nextCallAt)
	urgent := s.isResponsive() && !now.Before(s.ordersAllowedFrom) && !slices.Equal(s.grantRanges, s.sentRanges)
	if !due && !urgent {
		c.wakeTime.add(s.nextCallAt)
		return
	}
	if next, ok := c.newGrantCall(s, now); ok {
		c.startCall(s, next, now)
		return
	}
	if !due {
		c.wakeTime.add(s.nextCallAt)
		return
	}
	c.startCall(s, c.newClockCall(s), now)
}

// newGrantCall returns the call that grants all ranges of the server, if it may be sent
// now.
func (c *coordinator) newGrantCall(s *managedServer, now time.Time) (call, bool) {
	if !c.config.Keyed || !s.isResponsive() || now.Before(s.ordersAllowedFrom) || !c.tenure.ValidAt(now, c.deliveryMargin(s)) {
		return call{}, false
	}
	message, ok := s.grants.NextMessage(s.grantRanges, c.tenure.End, now)
	if !ok {
		return call{}, false
	}
	next := c.newClockCall(s)
	next.messageNumber = message.Number
	next.grant.Ranges = message.Ranges
	next.grant.Incarnation = message.Incarnation
	next.grant.Sequence = message.Number
	next.grant.Expiry = message.Expiry
	next.margin = c.deliveryMargin(s)
	s.sentRanges = s.grantRanges
	return next, true
}

// newClockCall returns a call that only reads the server's clock.
func (c *coordinator) newClockCall(s *managedServer) call {
	order := backend.Order{Shard: c.options.Shard, Token: c.tenure.Token, Holder: c.tenure.Holder}
	return call{grant: backend.Grant{Order: order}, timeout: c.config.RenewInterval}
}

// deliveryMargin is how long before the end of the tenure the last order may be sent.
func (c *coordinator) deliveryMargin(s *managedServer) time.Duration {
	if s.config.ChecksTokens {
		return 0
	}
	return c.config.MaxDeliveryTime
}

func (c *coordinator) startCall(s *managedServer, next call, now time.Time) {
	s.callInFlight = true
	s.calledAt = now
	s.nextCallAt = now.Add(c.config.RenewInterval)
	c.wakeTime.add(s.nextCallAt)
	s.calls <- next
}

func (c *coordinator) handleCallResult(result callResult, now time.Time) {
	s := result.server
	if c.servers[s.config.Name] != s {
		return // dropped meanwhile; its grants are tracked until they expire
	}
	s.callInFlight = false
	switch {
	case result.unsent:
		s.grants.Cancel(result.messageNumber)
		s.nextCallAt = now.Add(c.config.RenewInterval / 5)
	case result.err != nil:
		c.checkHigherTokenError(s, result)
		c.markUnresponsive(s, now)
	default:
		c.handleGrantResponse(s, result, now)
	}
}

// markUnresponsive blocks the ranges of a server that did not answer a call. Its grants
// are not renewed until it answers: a frozen server must not own its ranges any longer
// than necessary. The next call follows soon, since the failure may be brief.
func (c *coordinator) markUnresponsive(s *managedServer, now time.Time) {
	s.nextCallAt = latest(now, s.calledAt.Add(c.config.RenewInterval/5))
	if s.responsiveness == unresponsive {
		return
	}
	if s.responsiveness == responsive {
		c.options.Log.Emit(events.ServerSilent, "shard", c.options.Shard.String(), "server", s.config.Name)
	}
	s.responsiveness = unresponsive
	s.unresponsiveSince = now
	s.unansweredSince = s.calledAt
	c.viewDirty = true
	c.planSoon(now.Add(lostTimeout))
}

func (c *coordinator) handleGrantResponse(s *managedServer, result callResult, now time.Time) {
	clock := grant.ClockReading{ServerClock: result.response.Clock, ReceivedAt: result.receivedAt}
	restarted := s.grants.RecordResponse(result.messageNumber, clock, result.response.Incarnation)
	if s.responsiveness != responsive {
		if s.responsiveness == unresponsive {
			c.options.Log.Emit(events.ServerAnswering, "shard", c.options.Shard.String(), "server", s.config.Name)
			c.planSoon(now)
		}
		s.responsiveness = responsive
		s.nextCallAt = now
		c.viewDirty = true
	}
	if restarted {
		c.handleRestart(s, now)
	}
	if s.leaving != result.response.Leaving {
		c.handleLeavingChange(s, result.response.Leaving, now)
	}
	if c.tenure.Token.Less(result.response.Highest) {
		c.reportHigherToken(s, result.response.Highest)
	}
}

// handleRestart assigns the ranges of a restarted server to their standbys. The server
// is cold and holds no grant, so its ranges are free at once.
func (c *coordinator) handleRestart(s *managedServer, now time.Time) {
	c.options.Log.Emit(events.ServerRestarted, "shard", c.options.Shard.String(), "server", s.config.Name)
	s.limiter.MarkCold("new incarnation")
	s.sentRanges = nil
	for _, r := range c.ranges {
		if r.owner != s.config.Name || !r.belongsInGrant() {
			continue
		}
		if !c.chooseOwner(r, now) {
			r.assignTo(r.owner)
		}
		r.abandonRequests()
	}
	c.grantRangesDirty = true
	c.viewDirty = true
}

func (c *coordinator) handleLeavingChange(s *managedServer, leaving bool, now time.Time) {
	c.options.Log.Emit(events.ServerLeaving, "shard", c.options.Shard.String(), "server", s.config.Name, "leaving", leaving)
	s.leaving = leaving
	s.limiter.MarkLeaving(leaving)
	c.viewDirty = true
	c.nextPlanAt = now
}

func (c *coordinator) checkHigherTokenError(s *managedServer, result callResult) {
	if errors.Is(result.err, backend.ErrHigherToken) {
		c.reportHigherToken(s, result.response.Highest)
	}
}

// reportHigherToken reports each higher token of a server once.
func (c *coordinator) reportHigherToken(s *managedServer, highest authority.Token) {
	if s.followsHigherToken && highest == s.highestToken {
		return
	}
	s.followsHigherToken = true
	s.highestToken = highest
	c.options.Log.Emit(events.ServerFollowsHigherToken, "shard", c.options.Shard.String(),
		"server", s.config.Name, "token", c.tenure.Token.String(), "highest", highest.String())
	if c.options.OnHigherToken != nil {
		c.options.OnHigherToken(highest)
	}
}

// rebuildGrantRanges collects the ranges to grant to each server. Adjacent ranges are
// merged.
func (c *coordinator) rebuildGrantRanges() {
	if !c.grantRangesDirty {
		return
	}
	c.grantRangesDirty = false
	for _, s := range c.servers {
		s.grantRanges = make([]key.Range, 0, len(s.grantRanges))
	}
	if len(c.revocations) > 0 {
		return
	}
	for _, r := range c.ranges {
		s := c.servers[r.owner]
		if s == nil || !r.belongsInGrant() {
			continue
		}
		if n := len(s.grantRanges); n > 0 && s.grantRanges[n-1].End == r.bounds.Start {
			s.grantRanges[n-1].End = r.bounds.End
			continue
		}
		s.grantRanges = append(s.grantRanges, r.bounds)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package shard

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/events"
)

// planInterval is the time between two plans without a particular cause. It also limits
// the writes of a shard to the store to 2 per second.
const planInterval = 500 * time.Millisecond

// commitTimeout limits one attempt to commit.
const commitTimeout = 3 * time.Second

// planSoon schedules the next plan for at, unless it is due earlier.
func (c *coordinator) planSoon(at time.Time) {
	if at.Before(c.nextPlanAt) {
		c.nextPlanAt = at
	}
}

// planIfDue plans the shard when that is due. Moves off servers that are being taken
// out of use start at once when they go to committed servers; everything else waits for
// the commit.
func (c *coordinator) planIfDue(now time.Time) {
	if !c.loaded || !c.config.Keyed || c.blocksAllRanges() || !c.allServersContacted() {
		return
	}
	if now.Before(c.nextPlanAt) {
		c.wakeTime.add(c.nextPlanAt)
		return
	}
	c.nextPlanAt = now.Add(planInterval)
	c.wakeTime.add(c.nextPlanAt)
	c.cancelMovesToLostServers(now)
	before := c.assignmentInForce()
	plan := c.planner.Plan(c.planInput(before, now))
	c.startUrgentMoves(plan, now)
	if c.commitInProgress || now.Before(c.nextCommitAt) || plan.Next.Equal(c.committed) || len(plan.Next.Ranges) == 0 {
		return
	}
	c.startCommit(before, plan.Next)
}

// cancelMovesToLostServers leaves ranges with their owners when the desired owner is
// lost or unusable. Otherwise the plan would move them to a standby although their
// owner serves them.
func (c *coordinator) cancelMovesToLostServers(now time.Time) {
	for _, r := range c.ranges {
		desired := c.servers[r.desiredOwner]
		if r.desiredOwner != r.owner && c.servers[r.owner].isUsable() && (!desired.isUsable() || desired.isLost(now)) {
			r.desiredOwner = r.owner
		}
	}
}

// allServersContacted reports whether the first call to every server has ended.
func (c *coordinator) allServersContacted() bool {
	for _, s := range c.servers {
		if s.responsiveness == unknown && !s.removed {
			return false
		}
	}
	return true
}

// assignmentInForce returns the assignment with the desired owner of each range, which
// may be a standby that has taken over since the last commit.
func (c *coordinator) assignmentInForce() assign.Assignment {
	a := assign.Assignment{Ranges: make([]assign.Range, len(c.ranges))}
	for i, r := range c.ranges {
		a.Ranges[i] = assign.Range{Bounds: r.bounds, Owner: r.desiredOwner, FirstStandby: r.firstStandby, SecondStandby: r.secondStandby}
	}
	return a
}

func (c *coordinator) planInput(current assign.Assignment, now time.Time) assign.Input {
	in := assign.Input{
		Interval: c.options.Interval,
		Servers:  c.planServers(now),
		Current:  current,
		Loads:    make([]float64, len(c.ranges)),
		Moving:   make([]bool, len(c.ranges)),
		HotKeys:  c.hotKeys(),
		Settings: c.config.Planner,
		Now:      now,
		Random:   c.options.Random,
	}
	for i, r := range c.ranges {
		in.Loads[i] = r.rate
		in.Moving[i] = r.phase != serving || r.desiredOwner != r.owner
	}
	return in
}

// planServers lists the servers in the order of the settings.
func (c *coordinator) planServers(now time.Time) []assign.Server {
	latencies := make(map[string]time.Duration, len(c.servers))
	for name, s := range c.servers {
		latencies[name] = s.limiter.Latency()
	}
	slow := c.slowDetector.Flag(latencies, now)
	servers := make([]assign.Server, 0, len(c.servers))
	for _, config := range c.config.Servers {
		s := c.servers[config.Name]
		servers = append(servers, assign.Server{
			Name: config.Name, Domain: config.Domain, State: s.plannerState(now),
			Slow: slow[config.Name], Unresponsive: s.responsiveness == unresponsive,
		})
	}
	return servers
}

// plannerState returns the state of the server for the planner.
func (s *managedServer) plannerState(now time.Time) assign.ServerState {
	switch {
	case s.config.OutOfService:
		return assign.OutOfService
	case s.leaving:
		return assign.Leaving
	case s.isLost(now):
		return assign.Lost
	case s.limiter.Cold():
		return assign.Cold
	default:
		return assign.InService
	}
}

// startUrgentMoves starts the moves off servers that are being taken out of use, where
// the new owner is a committed server of the range or no committed server is left. They
// need no store, so that a store outage does not delay the departure of a server.
func (c *coordinator) startUrgentMoves(plan assign.Plan, now time.Time) {
	for _, m := range plan.Moves {
		if !m.Urgent {
			continue
		}
		for _, r := range c.ranges {
			if r.bounds == m.Bounds && (r.isCommitted(m.To) || c.committedServersGone(r, now)) {
				r.desiredOwner = m.To
			}
		}
	}
}

func (c *coordinator) startCommit(before, next assign.Assignment) {
	c.commitInProgress = true
	assignments, results, ctx := c.options.AssignmentStore, c.commitResults, c.ctx
	c.runtime.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		err := assignments.Commit(ctx, next)
		results <- commitResult{before: before, next: next, err: err}
	})
}

// handleCommitResult puts a committed assignment into force, or schedules the next
// commit.
func (c *coordinator) handleCommitResult(result commitResult, now time.Time) {
	c.commitInProgress = false
	if result.err != nil {
		c.nextCommitAt = now.Add(storeBackoff(c.commitErrors))
		c.commitErrors++
		c.planSoon(c.nextCommitAt)
		c.options.Log.Emit(events.ShardCommitFailed, "shard", c.options.Shard.String(), "error", result.err.Error())
		return
	}
	c.commitErrors = 0
	c.committed = result.next
	c.apply(result.before, result.next)
	c.options.Log.Emit(events.ShardCommitted, "shard", c.options.Shard.String(), "ranges", len(result.next.Ranges))
}

package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// disconnectAll ends all links. It must not be called before the event loop has ended.
func (c *Coordinator) disconnectAll() {
	for f := range c.followers {
		f.Disconnect()
	}
}

// maxCandidateShare returns the largest processor share among the followers that can
// become the holder.
func (c *Coordinator) maxCandidateShare() float64 {
	share := 0.0
	for f := range c.followers {
		if !f.Ending {
			share = max(share, f.ProcessorShare)
		}
	}
	return share
}

// maxRunningShare returns the largest processor share among the followers that are not
// stopping.
func (c *Coordinator) maxRunningShare() float64 {
	share := 0.0
	for f := range c.followers {
		if !f.Stopping {
			share = max(share, f.ProcessorShare)
		}
	}
	return share
}

// hasRunningFollower reports whether one of the followers is not stopping.
func (c *Coordinator) hasRunningFollower() bool {
	for f := range c.followers {
		if !f.Stopping {
			return true
		}
	}
	return false
}

// Join adds a follower and sends it the facts that it does not have. It returns false when the tenure has ended.
func (c *Coordinator) Join(f *link.Follower) bool {
	span, known := f.ReadSpan(time.Now())
	if known {
		c.reader.Observe(span) // before the instance is told of servers
	}
	return c.enqueue(func() {
		c.followers[f] = true
		c.followerLog.joined(f)
		f.JoinedAt = c.stays.join(f, time.Now())
		c.byName[f.Instance] = f
		c.joinTeamCaps(time.Now(), f)
		now := time.Now()
		c.sendJoinReply(f, now)
		if losses := link.EncodeLosses(c.registry.Crashes().Announced(now), now); len(losses) > 0 {
			f.Send(&linkpb.Down{Losses: losses})
		}
	})
}

// Leave removes a follower. If another link of its instance remains, decisions go there:
// the join of an ended link may have been held up until after that of the one in use.
func (c *Coordinator) Leave(f *link.Follower) {
	c.enqueue(func() {
		if c.followers[f] {
			c.followerLog.left(f)
		}
		delete(c.followers, f)
		c.joins.leave(f)
		if c.byName[f.Instance] != f {
			return
		}
		delete(c.byName, f.Instance)
		for other := range c.followers {
			if other.Instance == f.Instance {
				c.byName[f.Instance] = other
			}
		}
		if c.byName[f.Instance] == nil {
			c.leaveTeamCaps(time.Now(), f)
		}
	})
}

// Receive handles a message from a follower.
func (c *Coordinator) Receive(f *link.Follower, up *linkpb.Up) {
	arrivedAt := time.Now()
	if up.Facts != nil {
		link.NewFactsReceiver(c.registry).Apply(up.Facts, f.DecodeTime(up.ReadUs), arrivedAt)
	}
	link.MergeBackpressure(c.registry, up.Backpressure, arrivedAt)
	link.MergeLosses(c.registry.Crashes(), up.Losses, arrivedAt)
	holdings := link.DecodeHoldings(up.Allowed)
	c.enqueue(func() {
		now := time.Now()
		c.refresh(now) // before the attempts in the message are placed
		if len(up.Backpressure) > 0 {
			c.pauseServers(f.Instance, up.Backpressure, arrivedAt)
		}
		if c.followers[f] {
			c.byName[f.Instance] = f // an instance sends on the link in use only
		}
		c.partsArrived(f, up.Parts, now)
		c.recordProof(f, up.Proof, now)
		f.Stopping, f.Ending = f.Stopping || up.Stopping, f.Ending || up.Ending
		c.inheritTeamCaps(now, f, holdings)
		for _, finish := range up.Finishes {
			c.completeAttempt(now, link.DecodeFinish(finish, f))
		}
		for _, number := range up.Withdrawn {
			c.scheduler.Cancel(placing.AttemptID{Instance: f.Instance, Number: number})
		}
		for _, ask := range up.Asks {
			c.scheduler.Submit(now, link.DecodeAsk(ask, f.Instance, f.Domain, arrivedAt))
		}
		c.sendDecisions(f, up.Asks)
	})
}

// pauseServers makes the scheduler keep the pauses that servers have asked an instance
// for, as its message that arrived at the given time tells.
func (c *Coordinator) pauseServers(instance string, states []*linkpb.ServerState, arrivedAt time.Time) {
	for _, s := range states {
		if server, until, ok := link.DecodePause(s, arrivedAt); ok {
			c.scheduler.Pause(server, instance, until)
		}
	}
}

// completeAttempt reports the end of an attempt to the scheduler. A response shows
// that the server is alive, even if orders to it have been lost.
func (c *Coordinator) completeAttempt(now time.Time, completion placing.Completion) {
	c.scheduler.Complete(now, completion)
	if completion.Outcome != placing.Answered && completion.Outcome != placing.Shed || c.snapshot == nil {
		return
	}
	if server := c.snapshot.Server(completion.Server); server != nil {
		c.table.ClearFailures(server.Incarnation)
	}
}

// sendDecisions sends all new decisions. It also tells the follower which of the
// attempts that it has just sent are still waiting, so that it waits for them too.
func (c *Coordinator) sendDecisions(f *link.Follower, asks []*linkpb.Ask) {
	decided := map[uint64]bool{}
	messages := c.takeDecisions()
	if message := messages[f]; message != nil {
		for _, v := range message.Verdicts {
			decided[v.Number] = true
		}
	}
	for _, ask := range asks {
		if !decided[ask.Number] {
			if messages[f] == nil {
				messages[f] = &linkpb.Down{}
			}
			messages[f].Waiting = append(messages[f].Waiting, ask.Number)
		}
	}
	for to, message := range messages {
		to.Send(message)
	}
}

// flushDecisions sends all new decisions.
func (c *Coordinator) flushDecisions() {
	for to, message := range c.takeDecisions() {
		to.Send(message)
	}
}

// takeDecisions takes the new decisions from the scheduler and returns one message
// with them for each follower concerned. An attempt that is assigned for an instance without
// a link is never sent, which frees its slot for the next one.
func (c *Coordinator) takeDecisions() map[*link.Follower]*linkpb.Down {
	out := map[*link.Follower]*linkpb.Down{}
	for decisions := c.scheduler.TakeDecisions(); len(decisions) > 0; decisions = c.scheduler.TakeDecisions() {
		for _, decision := range decisions {
			f := c.byName[decision.AttemptID.Instance]
			if f == nil {
				c.completeUnsent(decision)
				continue
			}
			if out[f] == nil {
				out[f] = &linkpb.Down{}
			}
			out[f].Verdicts = append(out[f].Verdicts, link.EncodeVerdict(decision, f))
		}
	}
	return out
}

// completeUnsent completes an attempt whose decision cannot be sent.
func (c *Coordinator) completeUnsent(decision placing.Decision) {
	if decision.Server != "" {
		c.scheduler.Complete(time.Now(), placing.Completion{AttemptID: decision.AttemptID, Server: decision.Server, Outcome: placing.Unused})
	}
}

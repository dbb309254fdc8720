package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// disconnectAll ends all links. The goroutine must have ended.
func (c *Coordinator) disconnectAll() {
	for f := range c.followers {
		f.Disconnect()
	}
}

// maxProcessorShare returns the largest processor share among the followers.
func (c *Coordinator) maxProcessorShare() float64 {
	share := 0.0
	for f := range c.followers {
		share = max(share, f.ProcessorShare)
	}
	return share
}

// Join admits a follower.
func (c *Coordinator) Join(f *link.Follower) bool {
	return c.enqueue(func() {
		c.followers[f] = true
		c.byName[f.Instance] = f
		view := c.board.View()
		f.Send(&linkpb.Down{Facts: []*linkpb.Facts{c.encodeFacts(view, f.Sent, time.Now())}})
		f.Sent = sequencesOf(view)
	})
}

// Leave forgets a follower.
func (c *Coordinator) Leave(f *link.Follower) {
	c.enqueue(func() {
		delete(c.followers, f)
		if c.byName[f.Instance] == f {
			delete(c.byName, f.Instance)
		}
	})
}

// Receive takes a message of a follower.
func (c *Coordinator) Receive(f *link.Follower, up *linkpb.Up) {
	arrived := time.Now()
	if up.Facts != nil {
		link.NewFactsReceiver(c.board).Apply(up.Facts, arrived)
	}
	c.enqueue(func() {
		now := time.Now()
		for _, finish := range up.Finishes {
			c.completeAttempt(now, link.DecodeFinish(finish, f.Instance))
		}
		for _, number := range up.Withdrawn {
			c.placer.Withdraw(placing.Ticket{Instance: f.Instance, Number: number})
		}
		for _, ask := range up.Asks {
			c.placer.Arrive(now, link.DecodeAsk(ask, f.Instance, f.Domain, arrived))
		}
		c.sendDecisions(f, up.Asks)
	})
}

// completeAttempt takes note of the end of an attempt. An answer shows that the server
// lives, though orders to it may be lost.
func (c *Coordinator) completeAttempt(now time.Time, end placing.Finish) {
	c.placer.Finish(now, end)
	if end.Outcome != placing.Answered && end.Outcome != placing.Shed || c.snapshot == nil {
		return
	}
	if server := c.snapshot.Server(end.Server); server != nil {
		c.table.Answered(server.Life)
	}
}

// sendDecisions sends the verdicts and says which asks wait, so that their instance does too.
func (c *Coordinator) sendDecisions(f *link.Follower, asks []*linkpb.Ask) {
	decided := map[uint64]bool{}
	downs := c.takeDecisions()
	if down := downs[f]; down != nil {
		for _, v := range down.Verdicts {
			decided[v.Number] = true
		}
	}
	for _, ask := range asks {
		if !decided[ask.Number] {
			if downs[f] == nil {
				downs[f] = &linkpb.Down{}
			}
			downs[f].Waiting = append(downs[f].Waiting, ask.Number)
		}
	}
	for to, down := range downs {
		to.Send(down)
	}
}

// flushDecisions sends the verdicts that events have brought about.
func (c *Coordinator) flushDecisions() {
	for to, down := range c.takeDecisions() {
		to.Send(down)
	}
}

func (c *Coordinator) takeDecisions() map[*link.Follower]*linkpb.Down {
	out := map[*link.Follower]*linkpb.Down{}
	for _, v := range c.placer.Take() {
		f := c.byName[v.Ticket.Instance]
		if f == nil {
			continue
		}
		if out[f] == nil {
			out[f] = &linkpb.Down{}
		}
		out[f].Verdicts = append(out[f].Verdicts, link.EncodeVerdict(v))
	}
	return out
}

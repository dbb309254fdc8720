package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// cutAll ends all links. The goroutine must have ended.
func (a *Actor) cutAll() {
	for f := range a.followers {
		f.Cut()
	}
}

// strongest returns the largest processor share among the followers.
func (a *Actor) strongest() float64 {
	share := 0.0
	for f := range a.followers {
		share = max(share, f.Processor)
	}
	return share
}

// Join admits a follower.
func (a *Actor) Join(f *link.Follower) bool {
	return a.post(func() {
		a.followers[f] = true
		a.byName[f.Instance] = f
		view := a.board.View()
		f.Deliver(&linkpb.Down{Facts: []*linkpb.Facts{a.encode(view, f.Sent, time.Now())}})
		f.Sent = sequences(view)
	})
}

// Leave forgets a follower.
func (a *Actor) Leave(f *link.Follower) {
	a.post(func() {
		delete(a.followers, f)
		if a.byName[f.Instance] == f {
			delete(a.byName, f.Instance)
		}
	})
}

// Receive takes a message of a follower.
func (a *Actor) Receive(f *link.Follower, up *linkpb.Up) {
	arrived := time.Now()
	if up.Facts != nil {
		link.NewInbox(a.board).Take(up.Facts, arrived)
	}
	a.post(func() {
		now := time.Now()
		for _, finish := range up.Finishes {
			a.finish(now, link.DecodeFinish(finish, f.Instance))
		}
		for _, number := range up.Withdrawn {
			a.placer.Cancel(placing.AttemptID{Instance: f.Instance, Number: number})
		}
		for _, ask := range up.Asks {
			a.placer.Submit(now, link.DecodeAsk(ask, f.Instance, f.Domain, arrived))
		}
		a.answer(f, up.Asks)
	})
}

// finish takes note of the end of an attempt. An answer shows that the server
// lives, though orders to it may be lost.
func (a *Actor) finish(now time.Time, end placing.Completion) {
	a.placer.Complete(now, end)
	if end.Outcome != placing.Answered && end.Outcome != placing.Shed || a.seen == nil {
		return
	}
	if server := a.seen.Server(end.Server); server != nil {
		a.table.Answered(server.Life)
	}
}

// answer sends the verdicts and says which asks wait, so that their instance does too.
func (a *Actor) answer(f *link.Follower, asks []*linkpb.Ask) {
	decided := map[uint64]bool{}
	downs := a.verdicts()
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
		to.Deliver(down)
	}
}

// flush sends the verdicts that events have brought about.
func (a *Actor) flush() {
	for to, down := range a.verdicts() {
		to.Deliver(down)
	}
}

func (a *Actor) verdicts() map[*link.Follower]*linkpb.Down {
	out := map[*link.Follower]*linkpb.Down{}
	for _, v := range a.placer.TakeDecisions() {
		f := a.byName[v.AttemptID.Instance]
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

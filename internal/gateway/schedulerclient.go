package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// SchedulerClient gets a server for each attempt: from the holder, or on its own while the
// holder is silent. It is safe for concurrent use.
type SchedulerClient struct {
	instance   string
	registry   *facts.Board
	local      *localScheduler
	prober     fleet.Prober
	link       atomic.Pointer[activeLink]
	lastNumber atomic.Uint64
	pending    sync.Map // uint64 to *pending
	// holderStatus is what the holder's last message said.
	holderStatus atomic.Pointer[holderStatus]
}

// NewSchedulerClient returns a desk without a holder.
func NewSchedulerClient(instance, domain string, board *facts.Board, prober fleet.Prober) *SchedulerClient {
	return &SchedulerClient{instance: instance, registry: board, local: newLocalScheduler(domain, board), prober: prober}
}

// Attach uses the link until it ends.
func (d *SchedulerClient) Attach(l link.Link) {
	d.holderStatus.Store(&holderStatus{heardAt: time.Now(), instances: d.Instances(), maxProcessorShare: d.Strongest()})
	d.link.Store(&activeLink{Link: l})
}

// Silent returns how long the holder has been silent.
func (d *SchedulerClient) Silent(now time.Time) time.Duration {
	h := d.holderStatus.Load()
	if h == nil {
		return 0
	}
	return now.Sub(h.heardAt)
}

// Instances returns how many instances followed the holder when it was last heard.
func (d *SchedulerClient) Instances() int {
	if h := d.holderStatus.Load(); h != nil {
		return h.instances
	}
	return 0
}

// Strongest returns the largest processor share among them, or 0 if none was heard.
func (d *SchedulerClient) Strongest() float64 {
	if h := d.holderStatus.Load(); h != nil {
		return h.maxProcessorShare
	}
	return 0
}

// Inbox returns the inbox of one link, and what takes its messages in order
// without waiting.
func (d *SchedulerClient) Inbox() (*link.Inbox, func(*linkpb.Down)) {
	inbox := link.NewInbox(d.registry)
	return inbox, func(down *linkpb.Down) { d.handleDown(inbox, down) }
}

func (d *SchedulerClient) handleDown(inbox *link.Inbox, down *linkpb.Down) {
	now := time.Now()
	for _, f := range down.Facts {
		d.holderStatus.Store(&holderStatus{heardAt: now, instances: int(f.Instances), maxProcessorShare: f.Strongest})
		inbox.Take(f, now)
	}
	if h := d.holderStatus.Load(); h != nil && len(down.Facts) == 0 {
		d.holderStatus.Store(&holderStatus{heardAt: now, instances: h.instances, maxProcessorShare: h.maxProcessorShare})
	}
	for _, number := range down.Waiting {
		if p, ok := d.pending.Load(number); ok {
			p.(*pendingAttempt).queued.Store(true)
		}
	}
	for _, v := range down.Verdicts {
		verdict := link.DecodeVerdict(v, d.instance)
		if p, ok := d.pending.LoadAndDelete(v.Number); ok {
			p.(*pendingAttempt).decision <- verdict
		} else if verdict.Server != "" {
			d.Complete(placing.Completion{AttemptID: verdict.AttemptID, Server: verdict.Server, Outcome: placing.Unused})
		}
	}
}

// Place returns a verdict for the ask, whose ticket it sets.
func (d *SchedulerClient) Place(ctx context.Context, ask placing.Attempt) placing.Decision {
	now := time.Now()
	number := d.lastNumber.Add(1)
	ask.AttemptID = placing.AttemptID{Instance: d.instance, Number: number}
	l := d.link.Load()
	if l == nil || l.unavailable(now) {
		return d.placeLocally(ctx, ask)
	}
	p := &pendingAttempt{decision: make(chan placing.Decision, 1)}
	d.pending.Store(number, p)
	if !l.Send(&linkpb.Up{Asks: []*linkpb.Ask{link.EncodeAsk(ask, now)}}) {
		d.pending.Delete(number)
		return d.placeLocally(ctx, ask)
	}
	return d.await(ctx, l, p, ask)
}

func (d *SchedulerClient) await(ctx context.Context, l *activeLink, p *pendingAttempt, ask placing.Attempt) placing.Decision {
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	for {
		select {
		case v := <-p.decision:
			return v
		case <-l.Done():
			return d.cancel(ctx, l, p, ask, true)
		case <-ctx.Done():
			return d.cancel(ctx, l, p, ask, false)
		case <-timer.C:
			if !p.queued.Load() {
				l.setBackoff(time.Now().Add(holderBackoff))
				return d.cancel(ctx, l, p, ask, true)
			}
			timer.Reset(ackTimeout)
			if silent := d.Silent(time.Now()); silent > link.SilentAfter {
				return d.cancel(ctx, l, p, ask, true)
			}
		}
	}
}

// cancel gives up waiting. A verdict that has come meanwhile is used.
func (d *SchedulerClient) cancel(ctx context.Context, l *activeLink, p *pendingAttempt, ask placing.Attempt, choose bool) placing.Decision {
	if _, ours := d.pending.LoadAndDelete(ask.AttemptID.Number); !ours {
		return <-p.decision
	}
	l.Send(&linkpb.Up{Withdrawn: []uint64{ask.AttemptID.Number}}) // a link that has ended needs no withdrawal
	if choose {
		return d.placeLocally(ctx, ask)
	}
	return placing.Decision{AttemptID: ask.AttemptID, Reason: placing.ReasonOverload, RetryAfter: defaultRetryAfter}
}

// placeLocally chooses without the holder. While the store is silent too, which tells of
// cold starts, the server is asked first: what a cold one bears holds for all
// instances together, and none knows what the others send.
func (d *SchedulerClient) placeLocally(ctx context.Context, ask placing.Attempt) placing.Decision {
	now := time.Now()
	verdict := d.local.place(now, ask)
	if age, known := d.registry.Age(now); verdict.Server == "" || known && age < maxStoreAge {
		return verdict
	}
	view := d.registry.View()
	server, service := view.Server(verdict.Server), view.Config.Services[ask.Service]
	if server == nil || service == nil || service.HealthPath == "" || service.ColdRate == 0 {
		return verdict
	}
	probe, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	health, err := d.prober.Health(probe, *server, service.HealthPath)
	if err != nil || health.Server != server.Name || health.ColdFor == 0 {
		return verdict // a server that does not answer is noticed by the request
	}
	d.local.complete(placing.Completion{AttemptID: ask.AttemptID})
	return placing.Decision{AttemptID: ask.AttemptID, Reason: placing.ReasonCold, RetryAfter: holderBackoff}
}

// Complete reports the end of an attempt.
func (d *SchedulerClient) Complete(f placing.Completion) {
	d.local.complete(f)
	if l := d.link.Load(); l != nil {
		l.Send(&linkpb.Up{Finishes: []*linkpb.Finish{link.EncodeFinish(f)}}) // without the holder the slot frees itself at the deadline
	}
}

package router

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/peer"
	"peridotmoor.org/peridotmoor/internal/route"
)

// Bounds of a hand-over.
const (
	// handOverDrain is how long the holder waits for requests in flight before it
	// gives the shard away. Later ones that run keep their slots at the next holder
	// and get their answers; those that still wait go to the next holder.
	handOverDrain = 100 * time.Millisecond
	// handOverCall bounds the calls to the next holder and the witnesses.
	handOverCall = 500 * time.Millisecond
	// surrenderLimit bounds the time until all grants are taken back, which is at
	// most the time of a promise, 600 ms, for a server that does not answer.
	surrenderLimit = 1500 * time.Millisecond
	// busyLimit is the longest time for which slots stay taken at the next holder.
	busyLimit = 30 * time.Second
	// busyInterval is the time between two reports of the slots that are still in use.
	busyInterval = 50 * time.Millisecond
)

// handOver gives the shard to another witness in an orderly way: it prepares the
// next holder, turns new requests away, waits for those in flight, takes the
// grants back and returns its promises. It reports whether the shard was handed
// over or not held; a next holder that cannot be prepared ends it before any
// request is turned away.
func (u *unit) handOver(ctx context.Context) bool {
	tenure := u.source.Tenure()
	if !tenure.ValidAt(time.Now(), 0) {
		return true
	}
	targets := u.targets()
	next, ok := u.prepareNext(ctx, tenure, targets)
	if !ok || !u.stopping.CompareAndSwap(false, true) {
		return false
	}
	u.parts.log.Emit(events.HandOverBegun, events.FieldShard, u.id.String())
	u.drainBriefly(ctx)
	if u.inFlight.Load() > 0 {
		// A failed report leaves the next holder with the slots told before.
		_ = u.tell(ctx, next, tenure, targets)
	}
	if !u.release(ctx) {
		return false
	}
	u.parts.reports.Go(func() { u.reportBusy(next, tenure, targets) })
	return true
}

// release takes all grants back and returns the promises at once. It is also the last resort of a planned
// stop that finds no next holder: the witnesses then elect one.
func (u *unit) release(ctx context.Context) bool {
	u.stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, surrenderLimit)
	defer cancel()
	err := u.runtime.RevokeGrants(ctx)
	if err == nil {
		err = u.parts.keeper.Release(ctx, u.id)
	}
	if err != nil {
		u.parts.log.Emit(events.HandOverFailed, events.FieldShard, u.id.String(), events.FieldDetail, err.Error())
		u.stopping.Store(false)
		return false
	}
	u.parts.log.Emit(events.HandOverEnded, events.FieldShard, u.id.String())
	return true
}

// drain waits until no request is in flight or ctx ends.
func (u *unit) drain(ctx context.Context) {
	for u.inFlight.Load() > 0 {
		select {
		case <-u.idle:
		case <-ctx.Done():
			return
		}
	}
}

// drainBriefly is drain for at most handOverDrain.
func (u *unit) drainBriefly(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverDrain)
	defer cancel()
	u.drain(ctx)
}

// prepareNext asks the next holder to take over at once. It reports whether one agreed.
func (u *unit) prepareNext(ctx context.Context, tenure *authority.Tenure, targets []*route.Target) (authority.Member, bool) {
	ctx, cancel := context.WithTimeout(ctx, handOverCall)
	defer cancel()
	next, found, err := u.parts.keeper.NextHolder(ctx, u.id)
	if err != nil || !found {
		return next, false
	}
	err = u.tell(ctx, next, tenure, targets)
	if err != nil {
		u.parts.log.Emit(events.HandOverFailed, events.FieldShard, u.id.String(), events.FieldDetail, err.Error())
	}
	return next, err == nil
}

// tell sends the next holder what it must know of the servers.
func (u *unit) tell(ctx context.Context, next authority.Member, tenure *authority.Tenure, targets []*route.Target) error {
	ctx, cancel := context.WithTimeout(ctx, handOverCall)
	defer cancel()
	return u.parts.peers.HandOver(ctx, next.Address, peer.HandOver{
		Shard: u.id,
		Token: tenure.Token,
		From:  tenure.Holder,
		To:    next.Instance,
		Busy:  busyServers(targets),

		Sequence: u.reports.Add(1),
	})
}

// reportBusy tells the next holder which slots are still in use until none is and
// the next holder has acknowledged that: a lost last report would leave slots
// taken until busyLimit.
func (u *unit) reportBusy(next authority.Member, tenure *authority.Tenure, targets []*route.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), busyLimit)
	defer cancel()
	ticker := time.NewTicker(busyInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			idle := runningOn(targets) == 0
			if err := u.tell(ctx, next, tenure, targets); err == nil && idle {
				return
			}
		case <-ctx.Done():
		}
	}
}

func (u *unit) targets() []*route.Target {
	if view := u.runtime.Views().Load(); view != nil {
		return view.Targets
	}
	return nil
}

func runningOn(targets []*route.Target) int {
	running := 0
	for _, t := range targets {
		running += t.Limiter.Running()
	}
	return running
}

func busyServers(targets []*route.Target) []peer.BusyServer {
	var busy []peer.BusyServer
	for _, t := range targets {
		b := peer.BusyServer{Server: t.Name, Slots: t.Limiter.Running(), Remaining: busyLimit, Warm: t.Limiter.RampState().Warm}
		if b.Slots > 0 || b.Warm {
			busy = append(busy, b)
		}
	}
	return busy
}

// expect prepares this instance to take the shard over from h.From, or takes over
// a report of the slots that are still in use.
func (u *unit) expect(ctx context.Context, h peer.HandOver) error {
	slots := &busySlots{from: h.From, sequence: h.Sequence, servers: map[string]busyServer{}, until: time.Now().Add(busyLimit)}
	for _, b := range h.Busy {
		slots.servers[b.Server] = busyServer{slots: b.Slots, warm: b.Warm}
	}
	if old := u.busy.Load(); !slots.replaces(old) || !u.busy.CompareAndSwap(old, slots) {
		return errOvertaken
	}
	for _, t := range u.targets() {
		t.Limiter.SetInheritedSlots(slots.servers[t.Name].slots)
	}
	if u.source.Tenure() != nil {
		return nil
	}
	accepted, err := u.parts.keeper.Expect(ctx, u.id)
	if err != nil {
		return err
	}
	if !accepted {
		return peer.ErrHandOverRefused
	}
	return nil
}

// refreshIfWitness keeps the copy of the assignment fresh where a takeover may
// need it: at witnesses that do not hold the shard.
func (u *unit) refreshIfWitness(ctx context.Context) {
	config := u.source.Config()
	if u.source.Tenure() == nil && config != nil && config.Rank(u.parts.self.Instance) >= 0 {
		u.refreshAssignment(ctx)
	}
}

// refreshAssignment reads the committed assignment into the copy that a
// takeover without the store starts from.
func (u *unit) refreshAssignment(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverCall)
	defer cancel()
	// A failed read leaves the older copy; the next announced commit reads again.
	_ = u.commits.refresh(ctx)
}

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
	// handOverDrainTimeout is how long the holder waits for requests in flight before it
	// gives the shard away. Later ones that run keep their slots at the next holder
	// and get their answers; those that still wait go to the next holder.
	handOverDrainTimeout = 100 * time.Millisecond
	// handOverCallTimeout bounds the calls to the next holder and the witnesses.
	handOverCallTimeout = 500 * time.Millisecond
	// revokeTimeout bounds the time until all grants are taken back, which is at
	// most the time of a promise, 600 ms, for a server that does not answer.
	revokeTimeout = 1500 * time.Millisecond
	// inheritedSlotsTimeout is the longest time for which slots stay taken at the next holder.
	inheritedSlotsTimeout = 30 * time.Second
	// slotReportInterval is the time between two reports of the slots that are still in use.
	slotReportInterval = 50 * time.Millisecond
)

// handOver gives the shard to another witness in an orderly way: it prepares the
// next holder, turns new requests away, waits for those in flight, takes the
// grants back and returns its promises. It reports whether the shard was handed
// over or not held; a next holder that cannot be prepared ends it before any
// request is turned away.
func (l *localShard) handOver(ctx context.Context) bool {
	tenure := l.source.Tenure()
	if !tenure.ValidAt(time.Now(), 0) {
		return true
	}
	targets := l.targets()
	next, ok := l.prepareNext(ctx, tenure, targets)
	if !ok || !l.draining.CompareAndSwap(false, true) {
		return false
	}
	l.components.log.Emit(events.HandOverBegun, events.FieldShard, l.id.String())
	l.drainWithTimeout(ctx)
	if l.inFlight.Load() > 0 {
		// A failed report leaves the next holder with the slots told before.
		_ = l.sendHandOver(ctx, next, tenure, targets)
	}
	if !l.release(ctx) {
		return false
	}
	l.components.slotReports.Go(func() { l.reportSlotsInUse(next, tenure, targets) })
	return true
}

// release takes all grants back and returns the promises at once. It is also the last resort of a planned
// stop that finds no next holder: the witnesses then elect one.
func (l *localShard) release(ctx context.Context) bool {
	l.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	err := l.runtime.RevokeGrants(ctx)
	if err == nil {
		err = l.components.keeper.Release(ctx, l.id)
	}
	if err != nil {
		l.components.log.Emit(events.HandOverFailed, events.FieldShard, l.id.String(), events.FieldDetail, err.Error())
		l.draining.Store(false)
		return false
	}
	l.components.log.Emit(events.HandOverEnded, events.FieldShard, l.id.String())
	return true
}

// drain waits until no request is in flight or ctx ends.
func (l *localShard) drain(ctx context.Context) {
	for l.inFlight.Load() > 0 {
		select {
		case <-l.idle:
		case <-ctx.Done():
			return
		}
	}
}

// drainWithTimeout is drain for at most handOverDrain.
func (l *localShard) drainWithTimeout(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverDrainTimeout)
	defer cancel()
	l.drain(ctx)
}

// prepareNext asks the next holder to take over at once. It reports whether one agreed.
func (l *localShard) prepareNext(ctx context.Context, tenure *authority.Tenure, targets []*route.Target) (authority.Member, bool) {
	ctx, cancel := context.WithTimeout(ctx, handOverCallTimeout)
	defer cancel()
	next, found, err := l.components.keeper.NextHolder(ctx, l.id)
	if err != nil || !found {
		return next, false
	}
	err = l.sendHandOver(ctx, next, tenure, targets)
	if err != nil {
		l.components.log.Emit(events.HandOverFailed, events.FieldShard, l.id.String(), events.FieldDetail, err.Error())
	}
	return next, err == nil
}

// sendHandOver sends the next holder what it must know of the servers.
func (l *localShard) sendHandOver(ctx context.Context, next authority.Member, tenure *authority.Tenure, targets []*route.Target) error {
	ctx, cancel := context.WithTimeout(ctx, handOverCallTimeout)
	defer cancel()
	return l.components.peers.HandOver(ctx, next.Address, peer.HandOver{
		Shard: l.id,
		Token: tenure.Token,
		From:  tenure.Holder,
		To:    next.Instance,
		Busy:  busyServers(targets),

		Sequence: l.reportSequence.Add(1),
	})
}

// reportSlotsInUse tells the next holder which slots are still in use until none is and
// the next holder has acknowledged that: a lost last report would leave slots
// taken until busyLimit.
func (l *localShard) reportSlotsInUse(next authority.Member, tenure *authority.Tenure, targets []*route.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), inheritedSlotsTimeout)
	defer cancel()
	ticker := time.NewTicker(slotReportInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			idle := totalRunning(targets) == 0
			if err := l.sendHandOver(ctx, next, tenure, targets); err == nil && idle {
				return
			}
		case <-ctx.Done():
		}
	}
}

func (l *localShard) targets() []*route.Target {
	if view := l.runtime.Views().Load(); view != nil {
		return view.Targets
	}
	return nil
}

func totalRunning(targets []*route.Target) int {
	running := 0
	for _, t := range targets {
		running += t.Gate.Running()
	}
	return running
}

func busyServers(targets []*route.Target) []peer.BusyServer {
	var busy []peer.BusyServer
	for _, t := range targets {
		b := peer.BusyServer{Server: t.Name, Slots: t.Gate.Running(), Remaining: inheritedSlotsTimeout, Warm: t.Gate.Allowance().Warm}
		if b.Slots > 0 || b.Warm {
			busy = append(busy, b)
		}
	}
	return busy
}

// receiveHandOver prepares this instance to take the shard over from h.From, or takes over
// a report of the slots that are still in use.
func (l *localShard) receiveHandOver(ctx context.Context, h peer.HandOver) error {
	slots := &inheritedSlots{from: h.From, sequence: h.Sequence, servers: map[string]inheritedServer{}, until: time.Now().Add(inheritedSlotsTimeout)}
	for _, b := range h.Busy {
		slots.servers[b.Server] = inheritedServer{slots: b.Slots, warm: b.Warm}
	}
	if old := l.inherited.Load(); !slots.isNewerThan(old) || !l.inherited.CompareAndSwap(old, slots) {
		return errOutdatedReport
	}
	for _, t := range l.targets() {
		t.Gate.SetBusy(slots.servers[t.Name].slots)
	}
	if l.source.Tenure() != nil {
		return nil
	}
	accepted, err := l.components.keeper.Expect(ctx, l.id)
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
func (l *localShard) refreshIfWitness(ctx context.Context) {
	config := l.source.Config()
	if l.source.Tenure() == nil && config != nil && config.Rank(l.components.self.Instance) >= 0 {
		l.refreshAssignment(ctx)
	}
}

// refreshAssignment reads the committed assignment into the copy that a
// takeover without the store starts from.
func (l *localShard) refreshAssignment(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverCallTimeout)
	defer cancel()
	// A failed read leaves the older copy; the next announced commit reads again.
	_ = l.assignments.refresh(ctx)
}

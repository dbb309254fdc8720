package router

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/peer"
	"peridotmoor.org/peridotmoor/internal/route"
)

// Limits of a hand-over.
const (
	// handOverDrainTimeout is how long the holder waits for requests in flight before
	// it hands the shard over. Requests that still run afterwards keep their slots at
	// the next holder and get their responses; queued ones go to the next holder.
	handOverDrainTimeout = 100 * time.Millisecond
	// handOverCallTimeout limits the calls to the next holder and to the witnesses.
	handOverCallTimeout = 500 * time.Millisecond
	// revokeTimeout limits the revocation of all grants. A server that does not respond
	// takes at most the duration of a promise, 600 ms.
	revokeTimeout = 1500 * time.Millisecond
	// inheritedSlotsTimeout is the longest time for which the next holder reserves slots
	// for requests of its predecessor.
	inheritedSlotsTimeout = 30 * time.Second
	// flushTimeout is how long the holder waits until the mirrors know which requests have
	// not run. To the next holder, the others may have.
	flushTimeout = 100 * time.Millisecond
	// slotReportInterval is the time between two reports of the slots still in use.
	slotReportInterval = 50 * time.Millisecond
)

// handOver transfers the shard to another witness: it prepares the next holder, refuses
// new requests, waits for those in flight, revokes the grants and releases its promises.
// It returns true if the shard was handed over or is not held here. If no next holder
// can be prepared, or another hand-over is in progress, it returns false before any
// request is refused. It also returns false if the release fails.
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
	l.closeQueue()
	l.drainWithTimeout(ctx)
	if l.inFlight.Load() > 0 {
		// If this report fails, the next holder uses the slots of the previous one.
		_ = l.sendHandOver(ctx, next, tenure, targets)
	}
	if !l.release(ctx) {
		return false
	}
	l.components.slotReports.Go(func() { l.reportSlotsInUse(next, tenure, targets) })
	return true
}

// release revokes all grants and releases the promises. handOverAll also uses it as the
// last resort if no next holder was found: the witnesses then elect one.
func (l *localShard) release(ctx context.Context) bool {
	l.draining.Store(true)
	l.closeQueue()
	l.flushRecords(ctx)
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	since, err := l.runtime.RevokeGrants(ctx)
	if err == nil {
		err = l.components.runner.Release(ctx, l.id, since)
	}
	if err != nil {
		l.components.log.Emit(events.HandOverFailed, events.FieldShard, l.id.String(), events.FieldDetail, err.Error())
		if serving := l.serving.Load(); serving != nil {
			serving.dispatcher.OpenQueue()
		}
		l.draining.Store(false)
		return false
	}
	l.components.log.Emit(events.HandOverEnded, events.FieldShard, l.id.String())
	return true
}

// closeQueue refuses the requests that have not been sent to a server, so that the next
// holder runs them.
func (l *localShard) closeQueue() {
	if serving := l.serving.Load(); serving != nil {
		serving.dispatcher.CloseQueue()
	}
}

// flushRecords waits until the mirrors have the records of the requests that have ended.
func (l *localShard) flushRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if serving := l.serving.Load(); serving != nil {
		serving.records.Flush(ctx)
	}
}

// drain waits until no request is in flight or ctx is cancelled.
func (l *localShard) drain(ctx context.Context) {
	for l.inFlight.Load() > 0 {
		select {
		case <-l.idle:
		case <-ctx.Done():
			return
		}
	}
}

// drainWithTimeout calls drain with handOverDrainTimeout.
func (l *localShard) drainWithTimeout(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverDrainTimeout)
	defer cancel()
	l.drain(ctx)
}

// prepareNext asks the next holder to be ready for the takeover. It reports whether it
// has accepted.
func (l *localShard) prepareNext(ctx context.Context, tenure *authority.Tenure, targets []*route.Target) (authority.Member, bool) {
	ctx, cancel := context.WithTimeout(ctx, handOverCallTimeout)
	defer cancel()
	next, found, err := l.components.runner.NextHolder(ctx, l.id)
	if err != nil || !found {
		return next, false
	}
	err = l.sendHandOver(ctx, next, tenure, targets)
	if err != nil {
		l.components.log.Emit(events.HandOverFailed, events.FieldShard, l.id.String(), events.FieldDetail, err.Error())
	}
	return next, err == nil
}

// sendHandOver sends the next holder the slots in use and the warm servers.
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

// reportSlotsInUse reports the slots in use to the next holder until none is left and the
// next holder has acknowledged that. Without the last report the slots would stay
// reserved for inheritedSlotsTimeout.
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
		running += t.Limiter.Running()
	}
	return running
}

func busyServers(targets []*route.Target) []peer.BusyServer {
	var busy []peer.BusyServer
	for _, t := range targets {
		b := peer.BusyServer{Server: t.Name, Slots: t.Limiter.Running(), Remaining: inheritedSlotsTimeout, Warm: t.Limiter.RampState().Warm}
		if b.Slots > 0 || b.Warm {
			busy = append(busy, b)
		}
	}
	return busy
}

// receiveHandOver prepares this instance to take the shard over from h.From. If the
// instance holds the shard already, it only applies the report of the slots in use.
func (l *localShard) receiveHandOver(ctx context.Context, h peer.HandOver) error {
	slots := &inheritedSlots{from: h.From, sequence: h.Sequence, servers: map[string]inheritedServer{}, until: time.Now().Add(inheritedSlotsTimeout)}
	for _, b := range h.Busy {
		slots.servers[b.Server] = inheritedServer{slots: b.Slots, warm: b.Warm}
	}
	if old := l.inherited.Load(); !slots.isNewerThan(old) || !l.inherited.CompareAndSwap(old, slots) {
		return errOutdatedReport
	}
	for _, t := range l.targets() {
		t.Limiter.SetInheritedSlots(slots.servers[t.Name].slots)
	}
	if l.source.Tenure() != nil {
		return nil
	}
	accepted, err := l.components.runner.ExpectHandOver(ctx, l.id)
	if err != nil {
		return err
	}
	if !accepted {
		return peer.ErrHandOverRefused
	}
	return nil
}

// refreshIfWitness updates the cached assignment if this instance is a witness that does
// not hold the shard and so may take it over.
func (l *localShard) refreshIfWitness(ctx context.Context) {
	config := l.source.Config()
	if l.source.Tenure() == nil && config != nil && config.Rank(l.components.self.Instance) >= 0 {
		l.refreshAssignment(ctx)
	}
}

// refreshAssignment reads the committed assignment into the cache that a takeover during
// a store outage starts from.
func (l *localShard) refreshAssignment(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverCallTimeout)
	defer cancel()
	// A failed read keeps the older assignment until the next interval.
	_ = l.assignments.refresh(ctx)
}

package holder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store"
)

// elect makes this instance a candidate to replace a holder. If it wins, it is the holder
// until its tenure ends. An instance that ends within seconds is no candidate.
func (e *Elector) elect(ctx context.Context, replaced predecessor) {
	delay := maxElectionDelay
	maxShare := e.client.MaxProcessorShare()
	if maxShare == 0 {
		maxShare = e.recordedMaxShare(ctx)
	}
	if maxShare == 0 {
		delay = maxElectionDelayUnknownShares
	}
	wait := candidacyDelay(e.processorShare, maxShare, delay, electionJitter)
	if !e.plannedStop.isEnding() && !e.waitForCandidacy(ctx, replaced, wait) {
		return
	}
	if e.plannedStop.isEnding() {
		sleep(ctx, storeRetryDelay) // until another instance may be the holder
		return
	}
	waking := suspension{suspendedFor: e.suspendedFor}
	waking.noticed() // begins before the lease does
	startedAt := time.Now()
	candidate := e.newCandidate()
	lease, err := e.acquireLease(ctx, candidate, replaced.revision)
	if errors.Is(err, store.ErrUncertain) {
		found, _, readErr := e.readHolder(ctx)
		if readErr != nil || found != candidate {
			// The write may have taken effect or do so later. Without its lease, the key
			// cannot keep other instances from an election.
			if lease != "" {
				e.revokeLease(heldLease{lease, replaced.era}, 0, startedAt)
			}
			return
		}
		err = nil
	}
	if e.store.Era() != replaced.era {
		// Neither the key nor the lease need be those of this candidate: the store gives
		// revisions and lease IDs out again.
		return
	}
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			sleep(ctx, backoff())
		}
		return
	}
	e.lead(ctx, candidate, lease, startedAt, waking, replaced)
}

// toldRecord returns the record that matches the owners that this instance was told of last,
// or an empty record.
func (e *Elector) toldRecord() owners.Record {
	snapshot := e.registry.Snapshot()
	return owners.ToldRecord(snapshot.OwnedRanges, snapshot.Epoch, func(name string) fleet.Incarnation {
		if server := snapshot.Server(name); server != nil {
			return server.Incarnation
		}
		return fleet.Incarnation{Name: name}
	})
}

// waitForCandidacy waits before this instance is a candidate. It returns false as soon as
// it finds that another instance has become the holder in place of the replaced one, or that
// the store has come back from an older copy.
func (e *Elector) waitForCandidacy(ctx context.Context, replaced predecessor, wait time.Duration) bool {
	for ; wait > candidacyCheckInterval; wait -= candidacyCheckInterval {
		sleep(ctx, candidacyCheckInterval)
		if _, entry, err := e.readHolder(ctx); (err == nil || errors.Is(err, errUnreadableHolder)) && entry.Revision != replaced.revision {
			return false
		}
	}
	sleep(ctx, wait)
	return e.store.Era() == replaced.era
}

// recordedMaxShare returns the largest processor share that the record knows of, or 0.
func (e *Elector) recordedMaxShare(ctx context.Context) float64 {
	record, err := e.newRecordReader(e.store.Era()).read(ctx)
	if err != nil {
		return 0
	}
	return record.MaxProcessorShare
}

// newCandidate returns the identity of this instance for a new election.
func (e *Elector) newCandidate() Identity {
	e.elections++
	candidate := e.self
	candidate.Tenure = e.elections
	return candidate
}

// inheritedGrantsBound returns how long grants of earlier holders may remain valid.
func inheritedGrantsBound(replaced predecessor, recordWriter string, found owners.Record) time.Duration {
	switch {
	case owners.IsFirstEpoch(found.Epoch) && len(found.Services) == 0 && !found.RangesLost:
		return 0
	case !lastHolderEnded(replaced, recordWriter, found):
		return maxStoreOutage + maxInheritedGrant
	}
	return replaced.grantsBound
}

// lastHolderEnded reports whether there is proof that the last holder has ended, and that
// no holder before it can act.
// Proof that the last holder has ended says nothing about the holders before it: they
// may still renew grants without the store, unless the last holder had waited until
// they could not. Only the record that it has written tells that: a holder that ends
// between its election and its claim leaves the record of the holder before it.
func lastHolderEnded(replaced predecessor, recordWriter string, found owners.Record) bool {
	return replaced.grantsBound != 0 && !found.InheritedGrantsPending && recordWriter == replaced.tenureName
}

// acquireLease writes the holder's key under a new lease. The lease that it returns
// with an error exists and may have the key.
func (e *Elector) acquireLease(ctx context.Context, candidate Identity, revision uint64) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	identity, err := candidate.encode()
	if err != nil {
		return "", err
	}
	lease, err := e.store.Grant(ctx, leaseTTL)
	if err != nil {
		return "", err
	}
	_, err = e.store.CompareAndSwap(ctx, KeyHolder, revision, identity, lease)
	return lease, err
}

// lead runs one tenure of the holder: until the lease is lost, another holder appears,
// or this one yields or hands over. The lease was requested at startedAt, since which waking
// notices suspensions.
func (e *Elector) lead(parent context.Context, self Identity, lease store.LeaseID, startedAt time.Time, waking suspension, replaced predecessor) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	records := &recordStore{
		store: e.store, tenureName: self.tenureName(), followedHolder: e.registry.Snapshot().Epoch > 0, forgetFleet: replaced.mayHoldLease,
		told: e.toldRecord(), firstFleet: e.isFirstFleet(replaced.era),
	}
	records.era.Store(replaced.era)
	claimCtx, cancelClaim := context.WithTimeout(ctx, leaseTTL)
	found, err := records.claim(claimCtx)
	cancelClaim()
	if err != nil {
		e.log.Emit(events.OwnerRecordFailed, "detail", err.Error())
		e.revokeLease(heldLease{lease, replaced.era}, 0, startedAt)
		return
	}
	switch {
	case records.older:
		e.log.Emit(events.OwnerRecordOlder, "epoch", found.Epoch, "era", replaced.era, "told_epoch", records.told.Epoch)
	case found.RangesLost:
		e.log.Emit(events.OwnerRecordReplaced, "epoch", found.Epoch)
	}
	c := newCoordinator(ctx, cancel, e, records, found, startedAt.Add(inheritedGrantsBound(replaced, records.replacedTenure, found)))
	c.lastHolderEnded = lastHolderEnded(replaced, records.replacedTenure, found)
	c.suspension = waking
	c.lease.Store(&heldLease{lease, replaced.era})
	c.confirmElection(startedAt, time.Now())
	e.log.Emit(events.HolderElected, "epoch", found.Epoch, "tenure", self.tenureName())
	e.changeTenure(self) // before its own instance counts among the followers
	e.coordinator.Store(c)
	e.current.Store(&self)
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		c.run()
	}()
	receiver, onDown := e.client.NewReceiver()
	onOwnDown := func(down *linkpb.Down) {
		e.rememberPeers(down) // to find the successor while the store turns this instance away
		onDown(down)
	}
	if local := link.JoinLocal(e, e.member(receiver.Known()), receiver.Clock(), onOwnDown); local != nil {
		e.client.Attach(local)
		defer local.Close()
		defer e.plannedStop.announce(local)()
	}
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		e.readStorePeriodically(ctx)
	}()
	keyDone := make(chan struct{})
	go func() {
		defer close(keyDone)
		e.keepKey(ctx, c, self)
	}()
	e.renewLease(ctx, c, self, startedAt)
	if parent.Err() != nil {
		c.noteEnd(endPlannedStop)
	}
	cancel()
	<-keyDone
	<-loopDone
	c.orderCalls.Wait() // no order may follow the release of the lease
	<-readerDone
	e.coordinator.Store(nil)
	e.current.Store(nil)
	endedAt := time.Now()
	grantsUntil := c.endGrants(endedAt)
	e.log.Emit(events.HolderEnded, "epoch", found.Epoch, "tenure", self.tenureName(), "yields", c.yielding.Load(),
		"reason", endReason(c.endReason.Load()).String(), "unconfirmed_ms", c.unconfirmedFor(endedAt).Milliseconds(), "grants_until_ms", grantsUntil.Milliseconds())
	c.logGrants()
	c.logFollowers(endedAt)
	e.revokeLease(*c.lease.Load(), found.Epoch, *c.lastConfirmedAt.Load())
	c.disconnectAll() // after the key has been deleted, as followers look for the next holder at once
}

// renewLease renews the lease. It returns when the lease is lost, when another holder
// has appeared or when this one yields.
func (e *Elector) renewLease(ctx context.Context, c *Coordinator, self Identity, confirmedAt time.Time) {
	waiting := suspension{suspendedFor: e.suspendedFor}
	var entry eraEntry
	for {
		e.awaitRenewal(ctx, c.lease.Load().era, entry.pending)
		if ctx.Err() != nil || c.superseded.Load() {
			return
		}
		waiting.noticed() // begins anew
		sentAt := time.Now()
		err := e.renewOnce(ctx, c, self, &entry)
		switch {
		case err == nil && entry.pending:
		case err == nil && waiting.noticed():
			// The answer may have waited while the machine was suspended.
			continue
		case err == nil:
			confirmedAt = sentAt
			c.confirmLease(sentAt)
			continue
		case errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUncertain):
			c.emitLease(events.LeaseLost, "detail", err.Error())
		case errors.Is(err, errOtherEra):
			c.noteEnd(endOtherEra)
			c.emitLease(events.LeaseOfOtherEra, "detail", err.Error())
			return
		case errors.Is(err, store.ErrNotFound):
			c.noteEnd(endLeaseGone)
			c.emitLease(events.LeaseGone, "detail", err.Error())
			return
		default:
			c.emitLease(events.LeaseLost, "detail", err.Error())
		}
		if time.Since(confirmedAt) > maxStoreOutage {
			c.noteEnd(endStoreOutage)
			return
		}
	}
}

// awaitRenewal waits until the lease is due for renewal: at once if the store has come back in
// another era than that of the lease, so that the holder takes its key before another instance
// is elected.
func (e *Elector) awaitRenewal(ctx context.Context, leaseEra uint64, pending bool) {
	for end := time.Now().Add(leaseRenewInterval); ctx.Err() == nil && time.Now().Before(end); {
		if !pending && e.store.Era() != leaseEra {
			return
		}
		sleep(ctx, min(eraCheckInterval, time.Until(end)))
	}
}

// renewOnce renews the lease. If the store has come back from an older copy, it enters the new
// era, of which entry tells how far it has come.
func (e *Elector) renewOnce(ctx context.Context, c *Coordinator, self Identity, entry *eraEntry) error {
	lease := c.lease.Load()
	if e.store.Era() == lease.era && !entry.pending {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := e.store.Renew(callCtx, lease.id)
		cancel()
		if e.store.Era() == lease.era {
			return err
		}
	}
	return e.enterEra(ctx, c, self, entry)
}

// revokeLease revokes the lease of a tenure that has ended, so that a successor need not
// wait until it expires. The epoch is 0 if the tenure has not begun; the lease was last
// confirmed at the given time. In a later era the ID may be that of another lease.
func (e *Elector) revokeLease(lease heldLease, epoch int64, confirmedAt time.Time) {
	if e.store.Era() != lease.era {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := e.store.Revoke(ctx, lease.id); err != nil && !errors.Is(err, store.ErrNotFound) {
		e.log.Emit(events.LeaseUnreleased, "detail", err.Error(), "epoch", epoch, "unconfirmed_ms", time.Since(confirmedAt).Milliseconds(), "sends_orders", false)
	}
}

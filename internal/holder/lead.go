package holder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/link"
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
	if !e.plannedStop.isEnding() && !e.waitForCandidacy(ctx, replaced.revision, wait) {
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
				e.revokeLease(lease, 0, startedAt)
			}
			return
		}
		err = nil
	}
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			sleep(ctx, backoff())
		}
		return
	}
	e.lead(ctx, candidate, lease, startedAt, waking, replaced)
}

// waitForCandidacy waits before this instance is a candidate. It returns false as soon as
// it finds that another instance has become the holder in place of the one whose key has
// the given revision.
func (e *Elector) waitForCandidacy(ctx context.Context, revision uint64, wait time.Duration) bool {
	for ; wait > candidacyCheckInterval; wait -= candidacyCheckInterval {
		sleep(ctx, candidacyCheckInterval)
		if _, entry, err := e.readHolder(ctx); (err == nil || errors.Is(err, errUnreadableHolder)) && entry.Revision != revision {
			return false
		}
	}
	sleep(ctx, wait)
	return true
}

// recordedMaxShare returns the largest processor share that the record knows of, or 0.
func (e *Elector) recordedMaxShare(ctx context.Context) float64 {
	record, err := (&recordStore{store: e.store}).read(ctx)
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
	case found.Epoch == 1 && len(found.Services) == 0:
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
	records := &recordStore{store: e.store, tenureName: self.tenureName(), followedHolder: e.registry.Snapshot().Epoch > 0, forgetFleet: replaced.mayHoldLease}
	claimCtx, cancelClaim := context.WithTimeout(ctx, leaseTTL)
	found, err := records.claim(claimCtx)
	cancelClaim()
	if err != nil {
		e.log.Emit(events.OwnerRecordFailed, "detail", err.Error())
		e.revokeLease(lease, 0, startedAt)
		return
	}
	if found.RangesLost {
		e.log.Emit(events.OwnerRecordReplaced, "epoch", found.Epoch)
	}
	c := newCoordinator(ctx, cancel, e, records, found, startedAt.Add(inheritedGrantsBound(replaced, records.replacedTenure, found)))
	c.lastHolderEnded = lastHolderEnded(replaced, records.replacedTenure, found)
	c.suspension = waking
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
	if local := link.JoinLocal(e, e.member(receiver.Known()), receiver.Clock(), onDown); local != nil {
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
		e.keepKey(ctx, c, self, lease)
	}()
	e.renewLease(ctx, c, lease, startedAt)
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
	e.revokeLease(lease, found.Epoch, *c.lastConfirmedAt.Load())
	c.disconnectAll() // after the key has been deleted, as followers look for the next holder at once
}

// renewLease renews the lease. It returns when the lease is lost, when another holder
// has appeared or when this one yields.
func (e *Elector) renewLease(ctx context.Context, c *Coordinator, lease store.LeaseID, confirmedAt time.Time) {
	waiting := suspension{suspendedFor: e.suspendedFor}
	for {
		sleep(ctx, leaseRenewInterval)
		if ctx.Err() != nil || c.superseded.Load() {
			return
		}
		waiting.noticed() // begins anew
		sentAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := e.store.Renew(callCtx, lease)
		cancel()
		switch {
		case err == nil && waiting.noticed():
			// The answer may have waited while the machine was suspended.
		case err == nil:
			confirmedAt = sentAt
			c.confirmLease(sentAt)
		case errors.Is(err, store.ErrNotFound):
			c.noteEnd(endLeaseGone)
			c.emitLease(events.LeaseGone, "detail", err.Error())
			return
		default:
			c.emitLease(events.LeaseLost, "detail", err.Error())
			if time.Since(confirmedAt) > maxStoreOutage {
				c.noteEnd(endStoreOutage)
				return
			}
		}
	}
}

// revokeLease revokes the lease of a tenure that has ended, so that a successor need not
// wait until it expires. The epoch is 0 if the tenure has not begun; the lease was last
// confirmed at the given time.
func (e *Elector) revokeLease(lease store.LeaseID, epoch int64, confirmedAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := e.store.Revoke(ctx, lease); err != nil && !errors.Is(err, store.ErrNotFound) {
		e.log.Emit(events.LeaseUnreleased, "detail", err.Error(), "epoch", epoch, "unconfirmed_ms", time.Since(confirmedAt).Milliseconds(), "sends_orders", false)
	}
}

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

// elect tries to become the holder in place of the one at the given revision of
// the key (0: none). foreign is how long that one's orders may still count.
func (e *Elector) elect(ctx context.Context, revision uint64, foreign time.Duration) {
	delay := maxElectionDelay
	strongest := e.client.MaxProcessorShare()
	if strongest == 0 {
		delay = maxElectionDelayUnknownShares
	}
	sleep(ctx, candidacyDelay(e.processorShare, strongest, delay, electionJitter))
	began := time.Now()
	candidate := e.newCandidate()
	lease, err := e.acquireLease(ctx, candidate, revision)
	if errors.Is(err, store.ErrUncertain) {
		found, _, readErr := e.readHolder(ctx)
		if readErr != nil || found != candidate {
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
	e.lead(ctx, candidate, lease, began, foreign)
}

// newCandidate returns the identity for one more election.
func (e *Elector) newCandidate() Identity {
	e.elections++
	candidate := e.self
	candidate.Tenure = e.elections
	return candidate
}

// inheritedGrantsBound returns how long grants of earlier holders may still count. The
// proven end of the last holder says nothing about the ones before it, which may
// go on without the store while the last one has not waited for their end.
func inheritedGrantsBound(ofLast time.Duration, found owners.Record) time.Duration {
	switch {
	case found.Epoch == 1 && len(found.Services) == 0:
		return 0
	case ofLast == 0 || found.Unsettled:
		return maxStoreOutage + maxInheritedGrant
	}
	return ofLast
}

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

// lead is the holder until the lease is lost. foreign is how long the last
// holder's grants count at most, or 0 if that is not known.
func (e *Elector) lead(parent context.Context, self Identity, lease store.LeaseID, began time.Time, foreign time.Duration) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	record := &recordStore{store: e.store, tenureName: self.tenureName()}
	claim, stop := context.WithTimeout(ctx, leaseTTL)
	found, err := record.claim(claim)
	stop()
	if err != nil {
		e.log.Emit(events.RecordFailed, "detail", err.Error())
		e.revokeLease(lease)
		return
	}
	a := newCoordinator(ctx, e, record, found, began.Add(inheritedGrantsBound(foreign, found)))
	a.leaseConfirmedAt.Store(&began)
	e.log.Emit(events.HolderElected, "epoch", found.Epoch)
	e.coordinator.Store(a)
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.run()
	}()
	_, take := e.client.NewReceiver()
	if local := link.JoinLocal(e, e.member(), take); local != nil {
		e.client.Attach(local)
		defer local.Close()
	}
	reading := make(chan struct{})
	go func() {
		defer close(reading)
		e.readStorePeriodically(ctx)
	}()
	e.renewLease(ctx, a, lease, began)
	cancel()
	<-done
	<-reading // the reader is used by one goroutine at a time
	e.coordinator.Store(nil)
	e.log.Emit(events.HolderEnded, "epoch", found.Epoch, "yields", a.yielding.Load())
	if a.yielding.Load() {
		if err := record.markYielded(parent); err != nil {
			e.log.Emit(events.RecordFailed, "detail", err.Error()) // the successor may yield once more
		}
	}
	e.revokeLease(lease)
	a.disconnectAll() // not before the key is gone: followers look for the next holder at once
}

// readStorePeriodically reads the store for the fleet.
func (e *Elector) readStorePeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		if e.reader.Read(ctx) != nil {
			sleep(ctx, storeRetryDelay)
			continue
		}
		sleep(ctx, storeReadInterval)
	}
}

// storeReadInterval is the pause between two readings; a server that leaves, or a new
// configuration, has two seconds to be known everywhere.
const storeReadInterval = 600 * time.Millisecond

// renewLease renews the lease until it is lost or another holder shows itself.
func (e *Elector) renewLease(ctx context.Context, a *Coordinator, lease store.LeaseID, confirmed time.Time) {
	for {
		sleep(ctx, leaseRenewInterval)
		if ctx.Err() != nil || a.deposed.Load() || a.yielding.Load() {
			return
		}
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := e.store.Renew(call, lease)
		cancel()
		switch {
		case err == nil:
			confirmed = sent
			a.leaseConfirmedAt.Store(&sent)
		case errors.Is(err, store.ErrNotFound):
			e.log.Emit(events.LeaseLost, "detail", err.Error())
			return
		default:
			e.log.Emit(events.LeaseLost, "detail", err.Error())
			if time.Since(confirmed) > maxStoreOutage {
				return
			}
		}
	}
}

// revokeLease gives the lease back so that a successor need not wait for its end.
func (e *Elector) revokeLease(lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := e.store.Revoke(ctx, lease); err != nil && !errors.Is(err, store.ErrNotFound) {
		e.log.Emit(events.LeaseLost, "detail", err.Error())
	}
}

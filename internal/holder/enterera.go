package holder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/store"
)

// enterEra lets the holder go on after the store has come back from an older copy. It returns
// nil if the key is this tenure's under a lease of the new era; entry.pending stays set until
// proveEra has shown that no other holder can grant keys. It returns errOtherEra if the tenure
// must end.
func (e *Elector) enterEra(ctx context.Context, c *Coordinator, self Identity, entry *eraEntry) error {
	era := e.store.Era()
	entry.begin(era, c.lease.Load().era, time.Now())
	if c.proveInLoop(ctx, *entry) == eraRefuted {
		return errors.Wrap(errOtherEra, "another holder may have been elected")
	}
	if err := e.holdKey(ctx, c, self, era); err != nil {
		return err
	}
	if err := e.checkRecordOfEra(ctx, self, era); err != nil {
		return err
	}
	proof := c.proveInLoop(ctx, *entry)
	switch {
	case e.store.Era() != era:
		return store.Fail(store.ErrUnavailable, errOtherEra)
	case proof == eraRefuted:
		return errors.Wrap(errOtherEra, "another holder may have been elected")
	case proof == eraUnproved:
		return nil
	}
	entry.pending = false
	c.records.era.Store(era) // before c.era, as that makes the record due
	c.era.Store(era)
	c.emitLease(events.HolderEnteredEra, "era", era)
	return nil
}

// holdKey renews the lease of the holder's key in the given era. The lease of the era before
// may have ended, and its ID may be that of another lease now: only if the key names this
// tenure is it the lease of the key. If there is no key, the holder takes it as a candidate
// does, so that no other holder can be elected.
func (e *Elector) holdKey(ctx context.Context, c *Coordinator, self Identity, era uint64) error {
	found, _, err := e.readHolder(ctx)
	inEra := e.store.Era() == era
	switch {
	case !inEra:
		return store.Fail(store.ErrUnavailable, errOtherEra)
	case err == nil && found.tenureName() != self.tenureName():
		return errors.Wrap(errOtherEra, "the key is that of "+found.tenureName())
	case err == nil:
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		lease := heldLease{c.lease.Load().id, era}
		if err := e.store.Renew(callCtx, lease.id); err != nil {
			return err
		}
		c.lease.Store(&lease)
		return nil
	case !errors.Is(err, store.ErrNotFound):
		return err
	}
	lease, err := e.acquireLease(ctx, self, 0)
	if lease != "" && e.store.Era() == era {
		c.lease.Store(&heldLease{lease, era})
	}
	if errors.Is(err, store.ErrNotFound) {
		return store.Fail(store.ErrUnavailable, err) // the new lease has ended before it had the key
	}
	return err
}

// checkRecordOfEra returns errOtherEra if another holder has claimed the record of the era.
func (e *Elector) checkRecordOfEra(ctx context.Context, self Identity, era uint64) error {
	records := e.newRecordReader(era)
	found, err := records.read(ctx)
	if err == nil && records.revision != 0 && found.Holder != self.tenureName() {
		return errors.Wrap(errOtherEra, "the record is that of "+found.Holder)
	}
	if errors.Is(err, errOtherEra) {
		return store.Fail(store.ErrUnavailable, nil) // yet another era
	}
	return err
}

// proveInLoop is proveEra in the event loop.
func (c *Coordinator) proveInLoop(ctx context.Context, entry eraEntry) eraProof {
	proof := make(chan eraProof, 1)
	c.enqueue(func() { proof <- c.proveEra(time.Now(), entry) })
	select {
	case p := <-proof:
		return p
	case <-ctx.Done():
		return eraRefuted
	}
}

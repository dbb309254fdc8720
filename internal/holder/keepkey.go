package holder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/store"
)

// keepKey writes the holder's key again when another program has changed or deleted it, and
// ends the tenure when it finds another holder there. It returns when ctx is done.
func (e *Elector) keepKey(ctx context.Context, c *Coordinator, self Identity) {
	for ctx.Err() == nil {
		sleep(ctx, keyCheckInterval)
		if ctx.Err() == nil {
			e.checkKey(ctx, c, self)
		}
	}
}

func (e *Elector) checkKey(ctx context.Context, c *Coordinator, self Identity) {
	lease := *c.lease.Load()
	found, entry, err := e.readHolder(ctx)
	switch {
	case e.store.Era() != lease.era:
		return // renewLease enters the new era or ends the tenure
	case err == nil && found.tenureName() == self.tenureName():
		return
	case err == nil:
		c.supersede(endOtherKey)
		return
	case !errors.Is(err, errUnreadableHolder) && !errors.Is(err, store.ErrNotFound):
		return // renewLease notices that the store does not answer
	}
	identity, encodeErr := self.encode()
	if encodeErr != nil {
		c.emitLease(events.HolderKeyUnwritten, "detail", encodeErr.Error())
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// Fails if the lease has ended, or if another instance has become the holder.
	if _, writeErr := e.store.CompareAndSwap(callCtx, KeyHolder, entry.Revision, identity, lease.id); writeErr != nil {
		c.emitLease(events.HolderKeyUnwritten, "detail", writeErr.Error())
		return
	}
	e.log.Emit(events.HolderKeyRepaired, "detail", err.Error())
}

// replaceUnreadableHolder waits for the holder to repair its key, which has the given
// revision in the given era, and becomes a candidate if it does not.
func (e *Elector) replaceUnreadableHolder(ctx context.Context, era, revision uint64, cause error) {
	e.log.Emit(events.HolderLost, "detail", cause.Error())
	for end := time.Now().Add(unreadableKeyTimeout); time.Now().Before(end); {
		e.watchHolderKey(ctx, revision) // reads the facts too, while no holder sends them
		if ctx.Err() != nil {
			return
		}
		_, entry, err := e.readHolder(ctx)
		if errors.Is(err, store.ErrNotFound) || err == nil || entry.Revision > revision || e.store.Era() != era {
			return
		}
	}
	e.elect(ctx, predecessor{era: era, revision: revision, mayHoldLease: true})
}

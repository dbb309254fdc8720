package holder

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/store"
)

func (e *Elector) readHolder(ctx context.Context) (Identity, store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := e.store.Get(ctx, KeyHolder)
	if err != nil {
		return Identity{}, entry, err
	}
	holder, err := decodeIdentity(entry.Value)
	return holder, entry, err
}

// follow joins the holder and stays until the link ends or the holder has lost
// the store while this instance reaches it.
func (e *Elector) follow(ctx context.Context, holder Identity, revision uint64) {
	for range maxRejectedJoins {
		inbox, take := e.client.NewReceiver()
		client, err := link.Dial(ctx, holder.Address, e.member(), take)
		if errors.Is(err, syscall.ECONNREFUSED) {
			// No process listens there: that holder has ended.
			e.elect(ctx, revision, maxInheritedGrant)
			return
		}
		if err != nil {
			e.log.Emit(events.HolderLost, "holder", holder.String(), "detail", err.Error())
			e.watchHolderKey(ctx, revision)
			return
		}
		e.log.Emit(events.HolderFollowed, "holder", holder.String())
		began := time.Now()
		e.client.Attach(client)
		e.monitorLink(ctx, client, inbox, holder)
		client.Close()
		if time.Since(began) >= storeRetryDelay || ctx.Err() != nil {
			return
		}
		sleep(ctx, rejectedJoinDelay) // the process at that address is not the holder yet
	}
	e.readStore(ctx)
	sleep(ctx, storeRetryDelay)
}

// watchHolderKey waits for a change of the key of a holder that cannot be reached,
// and reads the store in its place meanwhile.
func (e *Elector) watchHolderKey(ctx context.Context, revision uint64) {
	if age, known := e.board.Age(time.Now()); !known || age > followerReadDelay {
		e.readStore(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, holderWatchTimeout)
	defer cancel()
	_, err := e.store.Watch(ctx, KeyHolder, revision)
	if err != nil && !errors.Is(err, store.ErrNotFound) && ctx.Err() == nil {
		sleep(ctx, backoff()) // the store refuses
	}
}

// monitorLink waits for the end of the link. While the holder cannot read the
// store, this instance does, and looks for a successor.
func (e *Elector) monitorLink(ctx context.Context, client link.Link, inbox *link.FactsReceiver, holder Identity) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-client.Done():
			e.log.Emit(events.HolderLost, "holder", holder.String(), "detail", "the link has ended")
			return
		case <-time.After(link.HeartbeatInterval):
		}
		now := time.Now()
		if silent := e.client.SilentFor(now); silent > link.HeartbeatTimeout {
			e.log.Emit(events.HolderLost, "holder", holder.String(), "detail", "no heartbeat", "silent_ms", silent.Milliseconds())
			return
		}
		patience := followerReadDelay + time.Duration(rand.Int64N(int64(followerReadJitter)))
		if age, known := e.board.Age(now); known && age > patience && e.readForHolder(ctx, client, inbox, holder) {
			return
		}
	}
}

// readForHolder reads the store in the holder's place, tells the holder, and reports
// whether the holder's key is gone.
func (e *Elector) readForHolder(ctx context.Context, client link.Link, inbox *link.FactsReceiver, holder Identity) bool {
	if err := e.reader.Read(ctx); err != nil {
		sleep(ctx, fleetBackoff(e.client.FleetSize()))
		return false
	}
	e.log.Emit(events.ReadForHolder, "holder", holder.String())
	client.Send(&linkpb.Up{Facts: inbox.EncodeReading(time.Now())}) // a link that has ended is noticed by its end
	found, _, err := e.readHolder(ctx)
	return errors.Is(err, store.ErrNotFound) || err == nil && found != holder
}

// readStore reads the store while the holder cannot be reached.
func (e *Elector) readStore(ctx context.Context) {
	err := e.reader.Read(ctx)
	if err == nil {
		err = e.readOwners(ctx)
	}
	if err != nil {
		sleep(ctx, backoff())
	}
}

// readOwners takes the owners of keys from the stored record.
func (e *Elector) readOwners(ctx context.Context) error {
	record, err := (&recordStore{store: e.store}).read(ctx)
	if err == nil && len(record.Services) > 0 {
		e.board.Owned(record.Views(), record.Epoch)
	}
	return err
}

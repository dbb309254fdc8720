package holder

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store"
)

// readHolder reads the identity of the current holder from the store.
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

// follow joins the holder. It returns when the link has ended, or when the holder has
// lost its key, which this instance notices if it can reach the store.
func (e *Elector) follow(ctx context.Context, holder Identity, revision uint64) {
	e.changeTenure(holder) // before the first attempt, which may succeed unnoticed
	for range maxRejectedJoins {
		receiver, onDown := e.client.NewReceiver()
		var accepted atomic.Bool // a holder sends the facts to each instance that joins
		conn, err := link.Dial(ctx, holder.Address, e.member(receiver.Known()), receiver.Clock(), func(down *linkpb.Down) {
			accepted.Store(true)
			e.rememberPeers(down)
			onDown(down)
		})
		if err != nil {
			// A refused connection does not prove that the holder has ended: a network
			// partition may reset connections.
			e.log.Emit(events.HolderLost, "holder", holder.String(), "detail", err.Error())
			e.watchHolderKey(ctx, revision)
			return
		}
		e.log.Emit(events.HolderFollowed, "holder", holder.String(), "tenure", holder.tenureName())
		joinedAt := time.Now()
		e.client.Attach(conn)
		e.current.Store(&holder)
		endAnnouncement := e.plannedStop.announce(conn)
		e.followed.Store(&followedLink{conn, receiver})
		e.monitorLink(ctx, conn, receiver, holder)
		e.followed.Store(nil)
		e.current.Store(nil)
		endAnnouncement()
		conn.Close()
		if time.Since(joinedAt) >= storeRetryDelay || ctx.Err() != nil {
			return
		}
		sleep(ctx, rejectedJoinDelay)
		if accepted.Load() {
			return
		}
		// The instance at that address is not the holder yet.
	}
	e.readStore(ctx)
	sleep(ctx, storeRetryDelay)
}

// watchHolderKey waits for a change of the key of a holder that cannot be reached.
// Before that it reads the store if no instance has done so recently.
func (e *Elector) watchHolderKey(ctx context.Context, revision uint64) {
	if age, known := e.registry.Age(time.Now()); !known || age > followerReadDelay {
		e.readStore(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, holderWatchTimeout)
	defer cancel()
	_, err := e.store.Watch(ctx, KeyHolder, revision)
	if err != nil && !errors.Is(err, store.ErrNotFound) && ctx.Err() == nil {
		sleep(ctx, backoff()) // the store has rejected the call
	}
}

// monitorLink returns when the link has ended, when heartbeats are missing, when the machine
// was suspended, or when the holder has lost its key. While the holder cannot read the store,
// it reads the store in place of the holder, and while this instance has no facts, for itself.
func (e *Elector) monitorLink(ctx context.Context, conn link.Link, receiver *link.FactsReceiver, holder Identity) {
	var nextReadAt time.Time // after a read that failed
	waking := suspension{suspendedFor: e.suspendedFor}
	waking.noticed() // begins with the link
	joinedIn := e.store.Era()
	var eraSeenAt time.Time // when this instance knew that the store is in another era
	for {
		select {
		case <-ctx.Done():
			return
		case <-conn.Done():
			e.log.Emit(events.HolderLost, "holder", holder.String(), "detail", "the link has ended")
			return
		case <-time.After(link.HeartbeatInterval):
		}
		if waking.noticed() {
			// The clock of the link is wrong now, and the facts are older than they seem.
			conn.Close()
			e.registry.ForgetRead()
			e.log.Emit(events.HolderLost, "holder", holder.String(), "detail", "the machine was suspended")
			return
		}
		now := time.Now()
		if silence := e.client.SilentFor(now); silence > link.HeartbeatTimeout {
			e.log.Emit(events.HolderLost, "holder", holder.String(), "detail", "no heartbeat", "silent_ms", silence.Milliseconds())
			return
		}
		if now.Before(nextReadAt) || receiver.Receiving(now) {
			continue
		}
		var err error
		holderLost := false
		readDelay := followerReadDelay + time.Duration(rand.Int64N(int64(followerReadJitter)))
		if age, known := e.registry.Age(now); !known {
			err = e.readFacts(ctx) // the holder normally sends the facts as soon as an instance joins
		} else if age > readDelay {
			keyGone := false
			holderLost, keyGone, err = e.readForHolder(ctx, conn, receiver, holder)
			if eraSeenAt.IsZero() && e.store.Era() != joinedIn {
				eraSeenAt = now
			}
			if keyGone && now.Sub(eraSeenAt) < eraEntryTime {
				holderLost = false // the store may have lost the key, which the holder takes again
				nextReadAt = now.Add(storeRetryDelay)
			}
		}
		if holderLost {
			e.log.Emit(events.HolderLost, "holder", holder.String(), "detail", "the store names another holder or tenure, or none")
			return
		}
		if err != nil {
			nextReadAt = time.Now().Add(FleetBackoff(e.client.FleetSize()))
		}
	}
}

// readForHolder reads the store in place of the holder and sends the holder what has
// changed. It reports whether the holder has lost its key, and whether there is none.
func (e *Elector) readForHolder(ctx context.Context, conn link.Link, receiver *link.FactsReceiver, holder Identity) (lost, gone bool, err error) {
	if err := e.reader.Read(ctx); err != nil {
		return false, false, err
	}
	e.log.Emit(events.ReadForHolder, "holder", holder.String())
	followedLink{conn, receiver}.sendReading()
	found, _, err := e.readHolder(ctx)
	gone = errors.Is(err, store.ErrNotFound)
	return gone || err == nil && found != holder, gone, nil
}

// readStore reads the facts and the owners from the store while the holder cannot be
// reached. After a failure it waits.
func (e *Elector) readStore(ctx context.Context) {
	if e.readFacts(ctx) != nil {
		sleep(ctx, backoff())
	}
}

// readFacts reads the facts and the owners from the store.
func (e *Elector) readFacts(ctx context.Context) error {
	if err := e.reader.JoinOrRead(ctx); err != nil {
		return err
	}
	return e.readOwners(ctx)
}

// readOwners publishes the owners of keys as the stored record has them.
func (e *Elector) readOwners(ctx context.Context) error {
	records := e.newRecordReader(e.store.Era())
	record, err := records.read(ctx)
	if records.older && record.Epoch <= e.registry.Snapshot().Epoch {
		return err // the owners that this instance was told of are newer
	}
	if errors.Is(err, owners.ErrUnreadableRecord) {
		e.log.Emit(events.OwnerRecordUnreadable, "detail", err.Error())
		return nil // the owners that this instance knows of are the best there are
	}
	if err == nil && len(record.Services) > 0 {
		e.registry.UpdateOwners(record.OwnedRanges(), record.Epoch)
	}
	return err
}

// newRecordReader returns a recordStore to read the record of an era with.
func (e *Elector) newRecordReader(era uint64) *recordStore {
	records := &recordStore{store: e.store}
	records.era.Store(era)
	return records
}

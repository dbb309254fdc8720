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

func (c *Elector) readHolder(ctx context.Context) (Identity, store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := c.store.Get(ctx, KeyHolder)
	if err != nil {
		return Identity{}, entry, err
	}
	holder, err := decodeIdentity(entry.Value)
	return holder, entry, err
}

// follow joins the holder and stays until the link ends or the holder has lost
// the store while this instance reaches it.
func (c *Elector) follow(ctx context.Context, holder Identity, revision uint64) {
	for range maxRejectedJoins {
		inbox, take := c.desk.NewReceiver()
		client, err := link.Dial(ctx, holder.Address, c.member(), take)
		if errors.Is(err, syscall.ECONNREFUSED) {
			// No process listens there: that holder has ended.
			c.elect(ctx, revision, maxInheritedGrant)
			return
		}
		if err != nil {
			c.log.Emit(events.HolderLost, "holder", holder.String(), "detail", err.Error())
			c.awaitHolder(ctx, revision)
			return
		}
		c.log.Emit(events.HolderFollowed, "holder", holder.String())
		began := time.Now()
		c.desk.Attach(client)
		c.accompany(ctx, client, inbox, holder)
		client.Close()
		if time.Since(began) >= storeRetryDelay || ctx.Err() != nil {
			return
		}
		sleep(ctx, rejectedJoinDelay) // the process at that address is not the holder yet
	}
	c.readAlone(ctx)
	sleep(ctx, storeRetryDelay)
}

// awaitHolder waits for a change of the key of a holder that cannot be reached,
// and reads the store in its place meanwhile.
func (c *Elector) awaitHolder(ctx context.Context, revision uint64) {
	if age, known := c.board.Age(time.Now()); !known || age > followerReadDelay {
		c.readAlone(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, holderWatchTimeout)
	defer cancel()
	_, err := c.store.Watch(ctx, KeyHolder, revision)
	if err != nil && !errors.Is(err, store.ErrNotFound) && ctx.Err() == nil {
		sleep(ctx, backoff()) // the store refuses
	}
}

// accompany waits for the end of the link. While the holder cannot read the
// store, this instance does, and looks for a successor.
func (c *Elector) accompany(ctx context.Context, client link.Link, inbox *link.FactsReceiver, holder Identity) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-client.Done():
			c.log.Emit(events.HolderLost, "holder", holder.String(), "detail", "the link has ended")
			return
		case <-time.After(link.HeartbeatInterval):
		}
		now := time.Now()
		if silent := c.desk.SilentFor(now); silent > link.HeartbeatTimeout {
			c.log.Emit(events.HolderLost, "holder", holder.String(), "detail", "no heartbeat", "silent_ms", silent.Milliseconds())
			return
		}
		patience := followerReadDelay + time.Duration(rand.Int64N(int64(followerReadJitter)))
		if age, known := c.board.Age(now); known && age > patience && c.replaced(ctx, client, inbox, holder) {
			return
		}
	}
}

// replaced reads the store in the holder's place, tells the holder, and reports
// whether the holder's key is gone.
func (c *Elector) replaced(ctx context.Context, client link.Link, inbox *link.FactsReceiver, holder Identity) bool {
	if err := c.reader.Read(ctx); err != nil {
		sleep(ctx, backoffOf(c.desk.FleetSize()))
		return false
	}
	c.log.Emit(events.ReadForHolder, "holder", holder.String())
	client.Send(&linkpb.Up{Facts: inbox.EncodeReading(time.Now())}) // a link that has ended is noticed by its end
	found, _, err := c.readHolder(ctx)
	return errors.Is(err, store.ErrNotFound) || err == nil && found != holder
}

// readAlone reads the store while the holder cannot be reached.
func (c *Elector) readAlone(ctx context.Context) {
	err := c.reader.Read(ctx)
	if err == nil {
		err = c.readOwners(ctx)
	}
	if err != nil {
		sleep(ctx, backoff())
	}
}

// readOwners takes the owners of keys from the stored record.
func (c *Elector) readOwners(ctx context.Context) error {
	record, err := (&stored{store: c.store}).read(ctx)
	if err == nil && len(record.Services) > 0 {
		c.board.Owned(record.Views(), record.Epoch)
	}
	return err
}

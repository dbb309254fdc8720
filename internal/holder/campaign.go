package holder

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Desk is what an instance does with its link to the holder.
type Desk interface {
	// Attach uses the link for the asks of this instance until it ends.
	Attach(l link.Link)
	// OnDown takes a message of the holder.
	OnDown(d *linkpb.Down)
	// Silent returns how long the holder has been silent.
	Silent(now time.Time) time.Duration
	// Instances returns how many instances followed the last holder.
	Instances() int
}

// Campaign follows the holder, or becomes it.
type Campaign struct {
	self    Identity
	store   store.Store
	board   *facts.Board
	reader  *facts.Reader
	granter Granter
	desk    Desk
	budget  placing.Budget
	log     *events.Logger
	// first is set when the whole fleet starts.
	first bool
	// weakness is 1 less the machine's share of a processor.
	weakness float64
	// tenure is the actor while this instance is the holder.
	tenure atomic.Pointer[Actor]
}

// NewCampaign returns a campaign for the instance. first tells that the whole
// fleet starts; processorShare is the part of a processor that the machine gives.
func NewCampaign(self Identity, s store.Store, board *facts.Board, reader *facts.Reader, granter Granter, desk Desk, budget placing.Budget, first bool, processorShare float64, log *events.Logger) *Campaign {
	return &Campaign{self: self, store: s, board: board, reader: reader, granter: granter, desk: desk, budget: budget, first: first, weakness: max(0, 1-processorShare), log: log}
}

// Join admits a follower while this instance is the holder.
func (c *Campaign) Join(f *link.Follower) bool {
	a := c.tenure.Load()
	return a != nil && a.Join(f)
}

// Receive takes a message of a follower.
func (c *Campaign) Receive(f *link.Follower, up *linkpb.Up) {
	if a := c.tenure.Load(); a != nil {
		a.Receive(f, up)
	}
}

// Leave forgets a follower.
func (c *Campaign) Leave(f *link.Follower) {
	if a := c.tenure.Load(); a != nil {
		a.Leave(f)
	}
}

// Run follows and leads until ctx ends.
func (c *Campaign) Run(ctx context.Context) {
	if c.first {
		c.standBack(ctx, firstDelay, firstJitter)
	}
	for ctx.Err() == nil {
		holder, entry, err := c.readHolder(ctx)
		switch {
		case errors.Is(err, store.ErrNotFound):
			c.elect(ctx, 0, 0)
		case err != nil:
			sleep(ctx, backoff())
		case holder == c.self:
			// A lease that this process has lost sight of: it ends by itself.
			sleep(ctx, storeRetry)
		case holder.Name == c.self.Name:
			c.elect(ctx, entry.Revision, longestForeignHold)
		default:
			c.follow(ctx, holder, entry.Revision)
		}
	}
}

// standBack lets stronger machines go first.
func (c *Campaign) standBack(ctx context.Context, delay, jitter time.Duration) {
	sleep(ctx, time.Duration(c.weakness*float64(delay))+time.Duration(rand.Int64N(int64(jitter))))
}

// backoff is the wait after a failed call; the fleet's calls are counted.
func backoff() time.Duration {
	return storeRetry*3 + time.Duration(rand.Int64N(int64(storeRetry*2)))
}

func (c *Campaign) readHolder(ctx context.Context) (Identity, store.Entry, error) {
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
func (c *Campaign) follow(ctx context.Context, holder Identity, revision uint64) {
	client, err := link.Dial(ctx, holder.Address, c.self.String(), c.self.Domain, c.desk.OnDown)
	if errors.Is(err, syscall.ECONNREFUSED) {
		// No process listens there: that holder has ended.
		c.elect(ctx, revision, longestForeignHold)
		return
	}
	if err != nil {
		c.log.Emit(events.HolderLost, "holder", holder.String(), "detail", err.Error())
		c.readAlone(ctx)
		return
	}
	c.log.Emit(events.HolderFollowed, "holder", holder.String())
	began := time.Now()
	c.desk.Attach(client)
	c.accompany(ctx, client, holder)
	client.Close()
	if time.Since(began) < storeRetry {
		// The process at that address is not the holder (yet).
		c.readAlone(ctx)
	}
}

// accompany waits for the end of the link. While the holder cannot read the
// store, this instance does, and looks for a successor.
func (c *Campaign) accompany(ctx context.Context, client link.Link, holder Identity) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-client.Done():
			c.log.Emit(events.HolderLost, "holder", holder.String(), "detail", "the link has ended")
			return
		case <-time.After(link.HeartbeatEvery):
		}
		now := time.Now()
		if silent := c.desk.Silent(now); silent > link.SilentAfter {
			c.log.Emit(events.HolderLost, "holder", holder.String(), "detail", "no heartbeat", "silent_ms", c.desk.Silent(now).Milliseconds())
			return
		}
		patience := readAfter + time.Duration(rand.Int64N(int64(readJitter)))
		if age, known := c.board.Age(now); known && age > patience && c.replaced(ctx, client, holder) {
			return
		}
	}
}

// replaced reads the store in the holder's place, tells the holder, and reports
// whether the holder's key is gone.
func (c *Campaign) replaced(ctx context.Context, client link.Link, holder Identity) bool {
	if err := c.reader.Read(ctx); err != nil {
		sleep(ctx, backoff())
		return false
	}
	c.log.Emit(events.ReadForHolder, "holder", holder.String())
	client.Send(&linkpb.Up{Facts: link.EncodeReading(c.board, time.Now())}) // a link that has ended is noticed by its end
	found, _, err := c.readHolder(ctx)
	return errors.Is(err, store.ErrNotFound) || err == nil && found != holder
}

// readAlone reads the store while the holder cannot be reached.
func (c *Campaign) readAlone(ctx context.Context) {
	err := c.reader.Read(ctx)
	if err == nil {
		err = c.readOwners(ctx)
	}
	if err != nil {
		sleep(ctx, backoff())
		return
	}
	sleep(ctx, storeRetry)
}

// readOwners takes the owners of keys from the stored record.
func (c *Campaign) readOwners(ctx context.Context) error {
	record, err := (&stored{store: c.store, holder: c.self.String()}).read(ctx)
	if err == nil && len(record.Services) > 0 {
		c.board.Owned(record.Views(), record.Epoch)
	}
	return err
}

// elect tries to become the holder in place of the one at the given revision of
// the key (0: none). foreign is how long that one's orders may still count.
func (c *Campaign) elect(ctx context.Context, revision uint64, foreign time.Duration) {
	c.standBack(ctx, electionDelay, electionJitter)
	began := time.Now()
	lease, err := c.win(ctx, revision)
	if errors.Is(err, store.ErrUncertain) {
		found, _, readErr := c.readHolder(ctx)
		if readErr != nil || found != c.self {
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
	if foreign == 0 {
		foreign = withoutStore + longestForeignHold
	}
	c.lead(ctx, lease, began, began.Add(foreign))
}

func (c *Campaign) win(ctx context.Context, revision uint64) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	identity, err := c.self.encode()
	if err != nil {
		return "", err
	}
	lease, err := c.store.Grant(ctx, leaseFor)
	if err != nil {
		return "", err
	}
	_, err = c.store.CompareAndSwap(ctx, KeyHolder, revision, identity, lease)
	return lease, err
}

// lead is the holder until the lease is lost. Grants of earlier holders end at until.
func (c *Campaign) lead(parent context.Context, lease store.LeaseID, began, until time.Time) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	record := &stored{store: c.store, holder: c.self.String()}
	claim, stop := context.WithTimeout(ctx, leaseFor)
	found, err := record.claim(claim)
	stop()
	if err != nil {
		c.log.Emit(events.RecordFailed, "detail", err.Error())
		c.revoke(lease)
		return
	}
	if found.Epoch == 1 && len(found.Services) == 0 {
		until = began
	}
	a := newActor(ctx, c, record, found, until)
	a.contact.Store(&began)
	c.log.Emit(events.HolderElected, "epoch", found.Epoch)
	c.tenure.Store(a)
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.run()
	}()
	if local := link.JoinLocal(c, c.self.String(), c.self.Domain, c.desk.OnDown); local != nil {
		c.desk.Attach(local)
		defer local.Close()
	}
	go c.read(ctx)
	c.keep(ctx, a, lease, began)
	cancel()
	<-done
	c.tenure.Store(nil)
	c.log.Emit(events.HolderEnded, "epoch", found.Epoch)
	c.revoke(lease)
}

// read reads the store for the fleet.
func (c *Campaign) read(ctx context.Context) {
	for ctx.Err() == nil {
		if c.reader.Read(ctx) != nil {
			sleep(ctx, storeRetry)
			continue
		}
		sleep(ctx, readEvery)
	}
}

// readEvery is the pause between two readings; a server that leaves, or a new
// configuration, has two seconds to be known everywhere.
const readEvery = 600 * time.Millisecond

// keep renews the lease until it is lost or another holder shows itself.
func (c *Campaign) keep(ctx context.Context, a *Actor, lease store.LeaseID, confirmed time.Time) {
	for {
		sleep(ctx, renewEvery)
		if ctx.Err() != nil || a.deposed.Load() {
			return
		}
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := c.store.Renew(call, lease)
		cancel()
		switch {
		case err == nil:
			confirmed = sent
			a.contact.Store(&sent)
		case errors.Is(err, store.ErrNotFound):
			c.log.Emit(events.LeaseLost, "detail", err.Error())
			return
		default:
			c.log.Emit(events.LeaseLost, "detail", err.Error())
			if time.Since(confirmed) > withoutStore {
				return
			}
		}
	}
}

// revoke gives the lease back so that a successor need not wait for its end.
func (c *Campaign) revoke(lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := c.store.Revoke(ctx, lease); err != nil && !errors.Is(err, store.ErrNotFound) {
		c.log.Emit(events.LeaseLost, "detail", err.Error())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

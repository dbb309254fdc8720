package publish

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/store"
)

// watcherElection takes part in electing, by a lease in the store, the one instance of a
// failure domain that watches the settings. Two watchers at a time do no harm: both only
// install newer versions, and repair the store by compare-and-swap.
type watcherElection struct {
	publisher *Publisher
	random    *rand.Rand
}

// WatcherKey returns the store key of the watcher's lease in a failure domain.
func WatcherKey(domain string) string {
	return "settings/watcher/" + domain
}

// run attempts at random intervals to become the watcher, and watches the settings while it
// holds the lease.
func (w *watcherElection) run(ctx context.Context) {
	select {
	case <-w.publisher.Ready():
	case <-ctx.Done():
		return
	}
	for sleep(ctx, w.attemptDelay()) {
		if lease, ok := w.acquireLease(ctx); ok {
			w.watchWhileLeased(ctx, lease)
		}
	}
}

// attemptDelay returns a random delay whose mean is proportional to the number of instances in
// the failure domain.
func (w *watcherElection) attemptDelay() time.Duration {
	members := 1
	for _, peer := range w.publisher.config.Peers.Peers() {
		if peer.Domain == w.publisher.config.Domain {
			members++
		}
	}
	return time.Duration(w.random.Int64N(2 * int64(members) * int64(meanAttemptInterval)))
}

// acquireLease takes the lease if no instance has it. If the outcome of the write is unknown,
// it is taken as a success, since two watchers at a time do no harm.
func (w *watcherElection) acquireLease(ctx context.Context) (store.LeaseID, bool) {
	s := w.publisher.store
	key := WatcherKey(w.publisher.config.Domain)
	if _, err := s.get(ctx, key); !errors.Is(err, store.ErrNotFound) {
		return "", false
	}
	lease, err := s.grant(ctx, watcherLeaseTTL)
	if err != nil {
		return "", false
	}
	_, err = s.compareAndSwap(ctx, key, 0, []byte(w.publisher.config.Self.String()), lease)
	if err == nil || errors.Is(err, store.ErrUncertain) {
		return lease, true
	}
	s.revoke(ctx, lease)
	return "", false
}

// watchWhileLeased watches the settings until the lease has expired or ctx is cancelled.
func (w *watcherElection) watchWhileLeased(ctx context.Context, lease store.LeaseID) {
	log := w.publisher.config.Events
	log.Emit(events.WatcherStarted, "domain", w.publisher.config.Domain)
	defer log.Emit(events.WatcherEnded, "domain", w.publisher.config.Domain)
	watchCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	sw := &settingsWatcher{publisher: w.publisher, random: rand.New(rand.NewPCG(w.random.Uint64(), w.random.Uint64()))}
	go func() {
		defer close(done)
		sw.run(watchCtx)
	}()
	for sleep(ctx, watcherRenewInterval) {
		if err := w.publisher.store.renew(ctx, lease); errors.Is(err, store.ErrNotFound) {
			break
		}
	}
	cancel()
	<-done
	if ctx.Err() != nil {
		w.publisher.store.revoke(ctx, lease)
	}
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

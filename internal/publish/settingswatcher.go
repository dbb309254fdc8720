package publish

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/settings/version"
	"peridotmoor.org/peridotmoor/internal/store"
)

// settingsWatcher watches the accepted version in the store while this instance holds the
// watcher's lease of its failure domain. It installs newer versions and writes the version in
// effect to a store that holds an older one, as after a restore from a backup.
type settingsWatcher struct {
	publisher        *Publisher
	random           *rand.Rand
	storeUnavailable bool // the last call failed
}

// run reads the key and then watches it from the revision that it read. It reads again when a
// watch ends without a change, since a restored store may have lower revisions.
func (w *settingsWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		entry, err := w.publisher.store.get(ctx, version.CurrentKey)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			w.storeFailed(ctx, err)
			continue
		}
		w.storeSucceeded()
		if w.reconcile(ctx, entry) {
			w.watch(ctx, entry.Revision)
		}
	}
}

// watch watches the key until a watch times out, fails, or returns an entry after which the
// key must be read again.
func (w *settingsWatcher) watch(ctx context.Context, revision uint64) {
	for {
		entry, err := w.publisher.store.watch(ctx, version.CurrentKey, revision)
		if errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			return
		}
		if err != nil {
			w.storeFailed(ctx, err)
			return
		}
		revision = entry.Revision
		if !w.reconcile(ctx, entry) {
			return
		}
	}
}

// storeFailed logs the first failure of a store outage and waits before the next call.
func (w *settingsWatcher) storeFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !w.storeUnavailable && !errors.Is(err, store.ErrNotFound) {
		w.publisher.config.Events.Emit(events.WatcherStoreLost, "error", err.Error())
		w.storeUnavailable = true
	}
	sleep(ctx, meanStoreRetryDelay/2+time.Duration(w.random.Int64N(int64(meanStoreRetryDelay))))
}

func (w *settingsWatcher) storeSucceeded() {
	if w.storeUnavailable {
		w.publisher.config.Events.Emit(events.WatcherStoreBack)
		w.storeUnavailable = false
	}
}

// reconcile compares an entry with the version in effect and installs it or repairs the store.
// It returns false when the key must be read again.
func (w *settingsWatcher) reconcile(ctx context.Context, entry store.Entry) bool {
	inEffect := w.publisher.Settings().Version
	stored, _ := version.Decode(entry.Value) // the number is 0 for a corrupted or missing value
	switch {
	case stored.Number > inEffect.Number:
		w.publisher.installFromStore(ctx, newSettingsValue(stored.Number, entry.Value))
	case stored.Number < inEffect.Number:
		w.repair(ctx)
		return false
	case stored.WriteID != inEffect.WriteID:
		w.publisher.config.Events.Emit(events.SettingsForked, "version", stored.Number, "stored_author", stored.Author, "author_in_effect", inEffect.Author)
	}
	return true
}

// repair writes the version in effect to the store if a second read confirms that the store
// holds an older one. If both reads were stale, the compare-and-swap fails.
func (w *settingsWatcher) repair(ctx context.Context) {
	if !sleep(ctx, confirmDelay) {
		return
	}
	entry, err := w.publisher.store.get(ctx, version.CurrentKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		w.storeFailed(ctx, err)
		return
	}
	stored, _ := version.Decode(entry.Value)
	inEffect := w.publisher.Settings()
	if stored.Number >= inEffect.Version.Number {
		return
	}
	_, err = w.publisher.store.compareAndSwap(ctx, version.CurrentKey, entry.Revision, inEffect.value, "")
	if err != nil {
		w.publisher.config.Events.Emit(events.SettingsRepairFailed, "stored", stored.Number, "in_effect", inEffect.Version.Number, "error", err.Error())
		return
	}
	w.publisher.config.Events.Emit(events.SettingsRepaired, "stored", stored.Number, "in_effect", inEffect.Version.Number)
}

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

// settingsWatcher follows the accepted version in the store while this instance is the
// watcher. It passes newer versions on and repairs a store that came back older.
type settingsWatcher struct {
	publisher        *Publisher
	random           *rand.Rand
	storeUnavailable bool // the last call failed
}

// run reads the key, then watches it from the revision read. It reads again when
// a watch ends without news, since a restored store may have lower revisions.
func (f *settingsWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		entry, err := f.publisher.store.get(ctx, version.CurrentKey)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			f.storeFailed(ctx, err)
			continue
		}
		f.storeSucceeded()
		if f.reconcile(ctx, entry) {
			f.watch(ctx, entry.Revision)
		}
	}
}

// watch watches until a watch ends without a newer entry.
func (f *settingsWatcher) watch(ctx context.Context, revision uint64) {
	for {
		entry, err := f.publisher.store.watch(ctx, version.CurrentKey, revision)
		if errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			return
		}
		if err != nil {
			f.storeFailed(ctx, err)
			return
		}
		revision = entry.Revision
		if !f.reconcile(ctx, entry) {
			return
		}
	}
}

// storeFailed notes an outage once and pauses.
func (f *settingsWatcher) storeFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.storeUnavailable && !errors.Is(err, store.ErrNotFound) {
		f.publisher.config.Events.Emit(events.WatcherStoreLost, "error", err.Error())
		f.storeUnavailable = true
	}
	sleep(ctx, meanStoreRetryDelay/2+time.Duration(f.random.Int64N(int64(meanStoreRetryDelay))))
}

func (f *settingsWatcher) storeSucceeded() {
	if f.storeUnavailable {
		f.publisher.config.Events.Emit(events.WatcherStoreBack)
		f.storeUnavailable = false
	}
}

// reconcile compares an entry with the version in effect. It returns false when
// the key must be read again.
func (f *settingsWatcher) reconcile(ctx context.Context, entry store.Entry) bool {
	inEffect := f.publisher.Settings().Version
	stored, _ := version.Decode(entry.Value) // number 0 for a damaged or missing value
	switch {
	case stored.Number > inEffect.Number:
		f.publisher.installFromStore(ctx, newSettingsValue(stored.Number, entry.Value))
	case stored.Number < inEffect.Number:
		f.repair(ctx)
		return false
	case stored.WriteID != inEffect.WriteID:
		f.publisher.config.Events.Emit(events.SettingsForked, "version", stored.Number, "stored_author", stored.Author, "author_in_effect", inEffect.Author)
	}
	return true
}

// repair writes the version in effect to a store that a second read confirms to
// be older. The compare-and-swap fails if the reads were stale.
func (f *settingsWatcher) repair(ctx context.Context) {
	if !sleep(ctx, confirmDelay) {
		return
	}
	entry, err := f.publisher.store.get(ctx, version.CurrentKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		f.storeFailed(ctx, err)
		return
	}
	stored, _ := version.Decode(entry.Value)
	inEffect := f.publisher.Settings()
	if stored.Number >= inEffect.Version.Number {
		return
	}
	_, err = f.publisher.store.compareAndSwap(ctx, version.CurrentKey, entry.Revision, inEffect.value, "")
	if err != nil {
		f.publisher.config.Events.Emit(events.SettingsRepairFailed, "stored", stored.Number, "in_effect", inEffect.Version.Number, "error", err.Error())
		return
	}
	f.publisher.config.Events.Emit(events.SettingsRepaired, "stored", stored.Number, "in_effect", inEffect.Version.Number)
}

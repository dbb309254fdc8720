package version

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/store"
)

// versionWriter writes one version to the store and finds out the result if a response is
// lost. All attempts write the same bytes on condition of the same revision, so at most
// one takes effect.
type versionWriter struct {
	store    store.Store
	proposal Proposal
	tree     *settings.Tree
	next     Version
	revision uint64
}

func (w *versionWriter) write(ctx context.Context) (Version, error) {
	value, err := Encode(w.next)
	if err != nil {
		return Version{}, err
	}
	found, err := w.store.CompareAndSwap(ctx, CurrentKey, w.revision, value, "")
	for isUncertain(err) {
		found, err = w.resolveUncertain(ctx, value, err)
	}
	switch {
	case err == nil:
		return w.next, nil
	case errors.Is(err, store.ErrConflict):
		return w.resolveConflict(ctx, found)
	}
	return Version{}, errors.WithMessage(err, "apply the settings")
}

// isUncertain reports whether a failed write may have taken effect. Errors that the store
// does not classify, such as an exceeded deadline, count as uncertain.
func isUncertain(err error) bool {
	var uncertain *UncertainError
	if err == nil || errors.As(err, &uncertain) {
		return false
	}
	return !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrTooLarge)
}

// resolveUncertain reads the current version after a lost response. If it is unchanged,
// the write is repeated.
func (w *versionWriter) resolveUncertain(ctx context.Context, value []byte, lostErr error) (store.Entry, error) {
	found, err := w.readCurrent(ctx)
	if err != nil {
		return store.Entry{}, &UncertainError{Proposal: w.next, cause: errors.Cause(lostErr)}
	}
	if found.Revision != w.revision {
		return found, store.ErrConflict
	}
	found, err = w.store.CompareAndSwap(ctx, CurrentKey, w.revision, value, "")
	if err != nil && !errors.Is(err, store.ErrConflict) {
		// An earlier attempt may still take effect, so the result remains unknown.
		err = w.waitToRetry(ctx, lostErr)
	}
	return found, err
}

// readCurrent reads CurrentKey, with retries until the store responds or ctx ends. A
// missing key yields a zero entry.
func (w *versionWriter) readCurrent(ctx context.Context) (store.Entry, error) {
	for {
		found, err := w.store.Get(ctx, CurrentKey)
		if err == nil {
			return found, nil
		}
		if errors.Is(err, store.ErrNotFound) {
			return store.Entry{}, nil
		}
		if w.waitToRetry(ctx, nil) != nil {
			return store.Entry{}, err
		}
	}
}

// waitToRetry waits readBackInterval and returns next, or an UncertainError if ctx ends
// first.
func (w *versionWriter) waitToRetry(ctx context.Context, next error) error {
	timer := time.NewTimer(readBackInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return next
	case <-ctx.Done():
		return &UncertainError{Proposal: w.next, cause: ctx.Err()}
	}
}

// resolveConflict determines whether the version found in the store was written by this
// writer, was built on its version, or is another operator's. A missing key yields a
// StaleStoreError.
func (w *versionWriter) resolveConflict(ctx context.Context, found store.Entry) (Version, error) {
	if found.Revision == 0 {
		return Version{}, &StaleStoreError{InEffect: w.next.Parent}
	}
	winner, err := Decode(found.Value)
	if err != nil {
		return Version{}, err
	}
	if winner.WriteID == w.next.WriteID {
		return w.next, nil
	}
	if winner.Number > w.next.Number {
		stored, err := Get(ctx, w.store, w.next.Number)
		if err == nil && stored.WriteID == w.next.WriteID {
			return w.next, nil
		}
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return Version{}, &UncertainError{Proposal: w.next, cause: err}
		}
	}
	return Version{}, newConflictError(ctx, w.store, w.proposal, w.tree, winner)
}

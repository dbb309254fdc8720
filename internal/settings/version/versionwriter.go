package version

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings"
	"peridotmoor.org/peridotmoor/internal/store"
)

// versionWriter brings one version into the store and resolves lost answers. Each
// attempt writes the same bytes on the same revision, so at most one takes effect.
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

// isUncertain reports whether the write may have taken effect. Failures that the
// store does not classify, such as a passed deadline, count as uncertain.
func isUncertain(err error) bool {
	var uncertain *UncertainError
	if err == nil || errors.As(err, &uncertain) {
		return false
	}
	return !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrTooLarge)
}

// resolveUncertain reads the key back after a lost answer. An unchanged key gets the same
// write again.
func (w *versionWriter) resolveUncertain(ctx context.Context, value []byte, cause error) (store.Entry, error) {
	found, err := w.readCurrent(ctx)
	if err != nil {
		return store.Entry{}, &UncertainError{Proposal: w.next, cause: errors.Cause(cause)}
	}
	if found.Revision != w.revision {
		return found, store.ErrConflict
	}
	found, err = w.store.CompareAndSwap(ctx, CurrentKey, w.revision, value, "")
	if err != nil && !errors.Is(err, store.ErrConflict) {
		// An earlier attempt may still take effect, so this failure decides nothing.
		err = w.waitToRetry(ctx, cause)
	}
	return found, err
}

// readCurrent reads the current key until the store answers or the context ends.
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

// waitToRetry waits readBackPause and returns next, or an UncertainError when the context ends first.
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

// resolveConflict tells the writer's own success from another operator's.
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

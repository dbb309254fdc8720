package version

import (
	"context"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Current reads the accepted version and the store revision of its key. It returns
// store.ErrNotFound if no version has been applied yet.
func Current(ctx context.Context, s store.Store) (Version, uint64, error) {
	return readKey(ctx, s, CurrentKey)
}

// Get reads a past or the current version by number. It returns store.ErrNotFound if the
// store does not hold it.
func Get(ctx context.Context, s store.Store, number uint64) (Version, error) {
	v, _, err := readKey(ctx, s, HistoryKey(number))
	if !errors.Is(err, store.ErrNotFound) {
		return v, err
	}
	current, _, err := Current(ctx, s)
	if err != nil {
		return Version{}, err
	}
	if current.Number != number {
		return Version{}, errors.Wrapf(store.ErrNotFound, "settings version %d", number)
	}
	return current, nil
}

// History returns up to limit versions, newest first. It stops at the first version that
// the store no longer holds.
func History(ctx context.Context, s store.Store, limit int) ([]Version, error) {
	current, _, err := Current(ctx, s)
	if err != nil {
		return nil, err
	}
	versions := []Version{current}
	for len(versions) < limit && versions[len(versions)-1].Parent > 0 {
		v, _, err := readKey(ctx, s, HistoryKey(versions[len(versions)-1].Parent))
		if errors.Is(err, store.ErrNotFound) {
			return versions, nil
		}
		if err != nil {
			return nil, err
		}
		versions = append(versions, v)
	}
	return versions, nil
}

func readKey(ctx context.Context, s store.Store, key string) (Version, uint64, error) {
	entry, err := s.Get(ctx, key)
	if err != nil {
		return Version{}, 0, errors.Wrapf(err, "read %s", key)
	}
	v, err := Decode(entry.Value)
	if err != nil {
		return Version{}, entry.Revision, errors.Wrapf(err, "read %s", key)
	}
	return v, entry.Revision, nil
}

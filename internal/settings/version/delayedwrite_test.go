package version

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/settings/settingstest"
	"peridotmoor.org/peridotmoor/internal/store"
)

// delayedStore delays the first write of the current key until the second one and lets
// the second fail as unavailable.
type delayedStore struct {
	store.Store
	writes  int
	delayed func()
}

func (s *delayedStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, id store.LeaseID) (store.Entry, error) {
	if key != CurrentKey {
		return s.Store.CompareAndSwap(ctx, key, revision, value, id)
	}
	s.writes++
	switch s.writes {
	case 1:
		s.delayed = func() { s.Store.CompareAndSwap(ctx, key, revision, value, id) }
		return store.Entry{}, store.ErrUncertain
	case 2:
		s.delayed()
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, key, revision, value, id)
}

// Guards against reporting a failure because a repeated write failed although the first
// write, delayed in the network, took effect.
func TestDelayedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := settingstest.NewStore()
		v, err := Apply(t.Context(), &delayedStore{Store: s}, proposal(textOut, "aoi", 0))
		is.NoErr(err)
		current, _, err := Current(t.Context(), s)
		is.NoErr(err)
		is.Equal(current, v)
	})
}

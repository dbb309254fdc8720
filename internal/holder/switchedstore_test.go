package holder

import (
	"context"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// switchedStore is a store that one instance cannot reach while off is set.
type switchedStore struct {
	store.EraStore
	off atomic.Bool
}

func (s *switchedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.off.Load() {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.EraStore.Get(ctx, key)
}

func (s *switchedStore) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	if s.off.Load() {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.EraStore.Watch(ctx, key, after)
}

func (s *switchedStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease store.LeaseID) (store.Entry, error) {
	if s.off.Load() {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.EraStore.CompareAndSwap(ctx, key, revision, value, lease)
}

func (s *switchedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if s.off.Load() {
		return "", store.ErrUnavailable
	}
	return s.EraStore.Grant(ctx, ttl)
}

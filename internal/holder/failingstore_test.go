package holder

import (
	"context"
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/store"
)

// failingStore fails the calls for which an error is set.
type failingStore struct {
	store.EraStore
	renew, revoke, writeKey atomic.Pointer[error]
}

func (s *failingStore) Renew(ctx context.Context, id store.LeaseID) error {
	if err := s.renew.Load(); err != nil {
		return *err
	}
	return s.EraStore.Renew(ctx, id)
}

func (s *failingStore) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := s.revoke.Load(); err != nil {
		return *err
	}
	return s.EraStore.Revoke(ctx, id)
}

func (s *failingStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease store.LeaseID) (store.Entry, error) {
	if err := s.writeKey.Load(); err != nil && key == KeyHolder {
		return store.Entry{}, *err
	}
	return s.EraStore.CompareAndSwap(ctx, key, revision, value, lease)
}

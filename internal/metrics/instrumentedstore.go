package metrics

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// InstrumentedStore is a store.Store that counts each call to the store it wraps, by
// call and result.
type InstrumentedStore struct {
	next  store.Store
	calls *StoreCalls
}

// NewInstrumentedStore returns a store that passes calls on to next and counts them in
// calls.
func NewInstrumentedStore(next store.Store, calls *StoreCalls) *InstrumentedStore {
	return &InstrumentedStore{next: next, calls: calls}
}

// Get implements store.Store.
func (s *InstrumentedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	entry, err := s.next.Get(ctx, key)
	s.calls.count("get", err)
	return entry, err
}

// List implements store.Store.
func (s *InstrumentedStore) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, err := s.next.List(ctx, prefix)
	s.calls.count("list", err)
	return entries, err
}

// CompareAndSwap implements store.Store.
func (s *InstrumentedStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease store.LeaseID) (store.Entry, error) {
	entry, err := s.next.CompareAndSwap(ctx, key, revision, value, lease)
	s.calls.count("compare_and_swap", err)
	return entry, err
}

// Watch implements store.Store.
func (s *InstrumentedStore) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	entry, err := s.next.Watch(ctx, key, after)
	s.calls.count("watch", err)
	return entry, err
}

// Grant implements store.Store.
func (s *InstrumentedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	id, err := s.next.Grant(ctx, ttl)
	s.calls.count("lease_grant", err)
	return id, err
}

// Renew implements store.Store.
func (s *InstrumentedStore) Renew(ctx context.Context, id store.LeaseID) error {
	err := s.next.Renew(ctx, id)
	s.calls.count("lease_renew", err)
	return err
}

// Revoke implements store.Store.
func (s *InstrumentedStore) Revoke(ctx context.Context, id store.LeaseID) error {
	err := s.next.Revoke(ctx, id)
	s.calls.count("lease_revoke", err)
	return err
}

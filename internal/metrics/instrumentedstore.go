package metrics

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// InstrumentedStore counts each call and passes it on.
type InstrumentedStore struct {
	next  store.Store
	calls *StoreCalls
}

// NewInstrumentedStore wraps next.
func NewInstrumentedStore(next store.Store, calls *StoreCalls) *InstrumentedStore {
	return &InstrumentedStore{next: next, calls: calls}
}

// Get counts and passes the call on.
func (s *InstrumentedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	entry, err := s.next.Get(ctx, key)
	s.calls.count("get", err)
	return entry, err
}

// List counts and passes the call on.
func (s *InstrumentedStore) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	entries, err := s.next.List(ctx, prefix)
	s.calls.count("list", err)
	return entries, err
}

// CompareAndSwap counts and passes the call on.
func (s *InstrumentedStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease store.LeaseID) (store.Entry, error) {
	entry, err := s.next.CompareAndSwap(ctx, key, revision, value, lease)
	s.calls.count("compare_and_swap", err)
	return entry, err
}

// Watch counts and passes the call on.
func (s *InstrumentedStore) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	entry, err := s.next.Watch(ctx, key, after)
	s.calls.count("watch", err)
	return entry, err
}

// Grant counts and passes the call on.
func (s *InstrumentedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	id, err := s.next.Grant(ctx, ttl)
	s.calls.count("lease_grant", err)
	return id, err
}

// Renew counts and passes the call on.
func (s *InstrumentedStore) Renew(ctx context.Context, id store.LeaseID) error {
	err := s.next.Renew(ctx, id)
	s.calls.count("lease_renew", err)
	return err
}

// Revoke counts and passes the call on.
func (s *InstrumentedStore) Revoke(ctx context.Context, id store.LeaseID) error {
	err := s.next.Revoke(ctx, id)
	s.calls.count("lease_revoke", err)
	return err
}

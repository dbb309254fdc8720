package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/store"
)

// fakeStore is an in-memory store that answers after 2 ms. While it is down,
// calls block until their deadline.
type fakeStore struct {
	store.Store
	mu      sync.Mutex
	entries map[string]store.Entry
	down    atomic.Bool
	writes  atomic.Int64
}

func (s *fakeStore) wait(ctx context.Context) error {
	time.Sleep(2 * time.Millisecond)
	if !s.down.Load() {
		return nil
	}
	<-ctx.Done()
	return errors.Wrap(store.ErrUnavailable, ctx.Err().Error())
}

func (s *fakeStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.wait(ctx); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return entry, nil
}

func (s *fakeStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	if err := s.wait(ctx); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Revision != revision {
		return s.entries[key], store.ErrConflict
	}
	s.writes.Add(1)
	s.entries[key] = store.Entry{Key: key, Value: value, Revision: revision + 1}
	return s.entries[key], nil
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: map[string]store.Entry{}}
}

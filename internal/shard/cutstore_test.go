package shard

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/store"
)

// cutStore is the store of shard records as a process reaches it.
type cutStore struct {
	store.Store
	process *electedProcess
}

func (s *cutStore) Get(ctx context.Context, key string) (store.Entry, error) {
	called, answered := s.process.cluster.reachesStore(s.process.member.Domain)
	if !called || !answered {
		<-ctx.Done()
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *cutStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease store.LeaseID) (store.Entry, error) {
	called, answered := s.process.cluster.reachesStore(s.process.member.Domain)
	if !called {
		<-ctx.Done()
		return store.Entry{}, store.ErrUnavailable
	}
	entry, err := s.Store.CompareAndSwap(ctx, key, revision, value, lease)
	if !answered {
		<-ctx.Done()
		return store.Entry{}, store.ErrUncertain
	}
	return entry, err
}

package memstore

import (
	"context"
	"strconv"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// lease deletes its keys when it ends.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	slow, err := s.faults.beforeWrite(ctx)
	if err != nil {
		return "", err
	}
	id := s.newLease(ttl)
	if slow != nil || s.faults.loseAnswer() {
		return "", store.Fail(store.ErrUncertain, slow)
	}
	return id, nil
}

func (s *Store) newLease(ttl time.Duration) store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := store.LeaseID("lease-" + strconv.FormatUint(s.revision, 10))
	s.leases[id] = &lease{
		ttl:   ttl,
		timer: time.AfterFunc(ttl, func() { s.end(id) }),
		keys:  map[string]bool{},
	}
	return id
}

// Renew implements store.Store.
func (s *Store) Renew(ctx context.Context, id store.LeaseID) error {
	slow, err := s.faults.beforeWrite(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, found := s.leases[id]
	if !found {
		return store.ErrNotFound
	}
	held.timer.Reset(held.ttl)
	if slow != nil || s.faults.loseAnswer() {
		return store.Fail(store.ErrUncertain, slow)
	}
	return nil
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	slow, err := s.faults.beforeWrite(ctx)
	if err != nil {
		return err
	}
	if !s.end(id) {
		return store.ErrNotFound
	}
	if slow != nil || s.faults.loseAnswer() {
		return store.Fail(store.ErrUncertain, slow)
	}
	return nil
}

// ExpireLease ends a lease as if its holder had been paused past its ttl. It
// reports whether the lease existed.
func (s *Store) ExpireLease(id store.LeaseID) bool {
	return s.end(id)
}

func (s *Store) end(id store.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, found := s.leases[id]
	if !found {
		return false
	}
	held.timer.Stop()
	delete(s.leases, id)
	for key := range held.keys {
		s.remove(key)
	}
	s.wake()
	return true
}

// leaseFor returns the lease of id, or nil when id is empty.
func (s *Store) leaseFor(id store.LeaseID) (*lease, error) {
	if id == "" {
		return nil, nil
	}
	held, found := s.leases[id]
	if !found {
		return nil, store.ErrNotFound
	}
	return held, nil
}

func (s *Store) detach(key string, id store.LeaseID) {
	if held, found := s.leases[id]; found {
		delete(held.keys, key)
	}
}

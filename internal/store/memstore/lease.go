package memstore

import (
	"context"
	"strconv"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// lease is a lease with its keys, which are deleted when it ends.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// Grant implements store.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	ctxErr, err := s.faults.beforeWrite(ctx)
	if err != nil {
		return "", err
	}
	id := s.newLease(ttl)
	if ctxErr != nil || s.faults.loseResponse() {
		return "", store.Fail(store.ErrUncertain, ctxErr)
	}
	return id, nil
}

func (s *Store) newLease(ttl time.Duration) store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := store.LeaseID("lease-" + strconv.FormatUint(s.revision, 10))
	l := &lease{ttl: ttl, keys: map[string]bool{}}
	l.timer = time.AfterFunc(ttl, func() { s.expireLease(id, l) })
	s.leases[id] = l
	return id
}

// Renew implements store.Store.
func (s *Store) Renew(ctx context.Context, id store.LeaseID) error {
	ctxErr, err := s.faults.beforeWrite(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, found := s.leases[id]
	if !found {
		return store.ErrNotFound
	}
	l.timer.Reset(l.ttl)
	if ctxErr != nil || s.faults.loseResponse() {
		return store.Fail(store.ErrUncertain, ctxErr)
	}
	return nil
}

// Revoke implements store.Store.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	ctxErr, err := s.faults.beforeWrite(ctx)
	if err != nil {
		return err
	}
	if !s.endLease(id) {
		return store.ErrNotFound
	}
	if ctxErr != nil || s.faults.loseResponse() {
		return store.Fail(store.ErrUncertain, ctxErr)
	}
	return nil
}

// ExpireLease ends a lease as if it had not been renewed within its ttl. It reports
// whether the lease existed.
func (s *Store) ExpireLease(id store.LeaseID) bool {
	return s.endLease(id)
}

// expireLease ends a lease unless the store has another one of its ID since it was restored.
func (s *Store) expireLease(id store.LeaseID, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == l {
		s.endLeaseLocked(id)
	}
}

func (s *Store) endLease(id store.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endLeaseLocked(id)
}

func (s *Store) endLeaseLocked(id store.LeaseID) bool {
	l, found := s.leases[id]
	if !found {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key := range l.keys {
		s.deleteLocked(key)
	}
	s.notifyWatchers()
	return true
}

// leaseFor returns the lease with the ID, or nil if id is empty.
func (s *Store) leaseFor(id store.LeaseID) (*lease, error) {
	if id == "" {
		return nil, nil
	}
	l, found := s.leases[id]
	if !found {
		return nil, store.ErrNotFound
	}
	return l, nil
}

func (s *Store) detachLease(key string, id store.LeaseID) {
	if l, found := s.leases[id]; found {
		delete(l.keys, key)
	}
}

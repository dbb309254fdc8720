// Package settingstest provides an in-memory store with fault injection for tests of
// settings versions and their distribution to the instances.
package settingstest

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// Store is an in-memory store.Store. It must be created by NewStore.
type Store struct {
	mu        sync.Mutex
	entries   map[string]store.Entry
	keyLeases map[string]store.LeaseID // lease of each key; empty if it has none
	leases    map[store.LeaseID]*lease
	revision  uint64
	changed   chan struct{}
	calls     map[string]int

	// BeforeCall, if not nil, runs before a call takes effect. If it returns an error, the
	// call fails with that error and has no effect.
	BeforeCall func(op, key string) error
	// AfterCall, if not nil, runs after a get, compare-and-swap or watch has taken effect.
	// Its error replaces the result of the call.
	AfterCall func(op, key string) error
}

var _ store.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		entries:   map[string]store.Entry{},
		keyLeases: map[string]store.LeaseID{},
		leases:    map[store.LeaseID]*lease{},
		changed:   make(chan struct{}),
		calls:     map[string]int{},
	}
}

// Calls returns the number of calls of op: get, list, cas, watch, grant, renew or revoke.
func (s *Store) Calls(op string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[op]
}

// Restore replaces the content of the store, as a restore from a backup does. Restored
// keys have the revisions of the given entries.
func (s *Store) Restore(entries ...store.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = map[string]store.Entry{}
	for _, e := range entries {
		s.entries[e.Key] = e
	}
	s.notifyWatchers()
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (store.Entry, error) {
	if err := s.beginCall("get", key); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	entry, ok := s.entries[key]
	s.mu.Unlock()
	if !ok {
		return store.Entry{Key: key}, s.endCall("get", key, store.ErrNotFound)
	}
	return entry, s.endCall("get", key, nil)
}

// List implements store.Store, except that the order of the entries is undefined.
func (s *Store) List(_ context.Context, prefix string) ([]store.Entry, error) {
	if err := s.beginCall("list", prefix); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []store.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, entry)
		}
	}
	return found, nil
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte, id store.LeaseID) (store.Entry, error) {
	if err := s.beginCall("cas", key); err != nil {
		return store.Entry{}, err
	}
	entry, err := s.swap(key, revision, value, id)
	return entry, s.endCall("cas", key, err)
}

func (s *Store) swap(key string, revision uint64, value []byte, id store.LeaseID) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.entries[key]
	if found.Revision != revision {
		return found, store.ErrConflict
	}
	if id != "" && s.leases[id] == nil {
		return found, store.ErrNotFound
	}
	s.revision++
	entry := store.Entry{Key: key, Value: append([]byte(nil), value...), Revision: s.revision}
	s.entries[key] = entry
	s.keyLeases[key] = id
	s.notifyWatchers()
	return entry, nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	if err := s.beginCall("watch", key); err != nil {
		return store.Entry{}, err
	}
	for {
		s.mu.Lock()
		entry, ok := s.entries[key]
		changed := s.changed
		s.mu.Unlock()
		if !ok && after > 0 {
			return store.Entry{}, store.ErrNotFound
		}
		if entry.Revision > after {
			return entry, s.endCall("watch", key, nil)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return store.Entry{}, ctx.Err()
		}
	}
}

// Grant implements store.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.beginCall("grant", ""); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := store.LeaseID("lease-" + strconv.FormatUint(s.revision, 10))
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id, nil
}

// Renew implements store.Store.
func (s *Store) Renew(_ context.Context, id store.LeaseID) error {
	if err := s.beginCall("renew", string(id)); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return store.ErrNotFound
	}
	l.timer.Reset(l.ttl)
	return nil
}

// Revoke implements store.Store.
func (s *Store) Revoke(_ context.Context, id store.LeaseID) error {
	if err := s.beginCall("revoke", string(id)); err != nil {
		return err
	}
	s.endLease(id)
	return nil
}

// endLease deletes a lease and its keys, both on expiry and on revocation.
func (s *Store) endLease(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		l.timer.Stop()
	}
	delete(s.leases, id)
	for key, owner := range s.keyLeases {
		if owner == id {
			delete(s.keyLeases, key)
			delete(s.entries, key)
		}
	}
	s.notifyWatchers()
}

// notifyWatchers wakes all waiting Watch calls. The caller holds mu.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) beginCall(op, key string) error {
	s.mu.Lock()
	s.calls[op]++
	before := s.BeforeCall
	s.mu.Unlock()
	if before == nil {
		return nil
	}
	return before(op, key)
}

func (s *Store) endCall(op, key string, err error) error {
	s.mu.Lock()
	after := s.AfterCall
	s.mu.Unlock()
	if after != nil {
		if fault := after(op, key); fault != nil {
			return fault
		}
	}
	return err
}

// SetHooks replaces BeforeCall and AfterCall; calls may be in progress.
func (s *Store) SetHooks(before, after func(op, key string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.BeforeCall, s.AfterCall = before, after
}

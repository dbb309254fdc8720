// Package memstore is a store.Store in memory, with switches for the faults of
// the platform's store. Tests and the development stand-in use it. It has no
// goroutine of its own, so a test needs to close nothing.
package memstore

import (
	"context"
	"sort"
	"strings"
	"sync"

	"peridotmoor.org/peridotmoor/internal/store"
)

// maxWaiting bounds the delayed calls that are told apart by Faults.Waiting.
const maxWaiting = 64

// Store keeps entries and leases in memory.
type Store struct {
	faults Faults

	mu       sync.Mutex
	revision uint64
	entries  map[string]record
	leases   map[store.LeaseID]*lease
	// changed is closed and replaced by each change; watchers wait on it.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		faults:  Faults{waiting: make(chan struct{}, maxWaiting)},
		entries: map[string]record{},
		leases:  map[store.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
}

// Faults returns the switches of the store.
func (s *Store) Faults() *Faults {
	return &s.faults
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.faults.beforeRead(ctx); err != nil {
		return store.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return lookup(s.readable(), key)
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	if err := s.faults.beforeRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []store.Entry
	for key, r := range s.readable() {
		if strings.HasPrefix(key, prefix) {
			found = append(found, r.entry(key))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// CompareAndSwap implements store.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, id store.LeaseID) (store.Entry, error) {
	if len(value) > store.MaxValueBytes {
		return store.Entry{}, store.ErrTooLarge
	}
	slow, err := s.faults.beforeWrite(ctx)
	if err != nil {
		return store.Entry{}, err
	}
	entry, err := s.swap(key, revision, value, id)
	if err == nil && (slow != nil || s.faults.loseAnswer()) {
		return store.Entry{}, store.Fail(store.ErrUncertain, slow)
	}
	if slow != nil {
		return store.Entry{}, store.Fail(store.ErrUncertain, slow)
	}
	return entry, err
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	if err := s.faults.beforeRead(ctx); err != nil {
		return store.Entry{}, err
	}
	for {
		outage := s.faults.outage.wait()
		if s.faults.down.Load() {
			return store.Entry{}, store.ErrUnavailable
		}
		entry, changed, err := s.peek(key, after)
		if err != nil || entry.Revision > after {
			return entry, err
		}
		select {
		case <-changed:
		case <-outage:
		case <-ctx.Done():
			return store.Entry{}, ctx.Err()
		}
	}
}

// peek returns the current entry and the channel that the next change closes. A
// missing key is no error for a watcher that has seen no revision of it.
func (s *Store) peek(key string, after uint64) (store.Entry, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, err := lookup(s.entries, key)
	if err != nil && after == 0 {
		return store.Entry{}, s.changed, nil
	}
	return entry, s.changed, err
}

func (s *Store) swap(key string, revision uint64, value []byte, id store.LeaseID) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, err := s.leaseFor(id)
	if err != nil {
		return store.Entry{}, err
	}
	current := s.entries[key]
	if current.revision != revision {
		return current.entry(key), store.ErrConflict
	}
	s.detach(key, current.lease)
	s.revision++
	next := record{value: append([]byte{}, value...), revision: s.revision, lease: id}
	s.entries[key] = next
	if held != nil {
		held.keys[key] = true
	}
	s.wake()
	return next.entry(key), nil
}

// Put writes a key without a condition, as an outside writer would.
func (s *Store) Put(key string, value []byte) store.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detach(key, s.entries[key].lease)
	s.revision++
	s.entries[key] = record{value: append([]byte{}, value...), revision: s.revision}
	s.wake()
	return s.entries[key].entry(key)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	s.wake()
}

func (s *Store) remove(key string) {
	s.detach(key, s.entries[key].lease)
	delete(s.entries, key)
	s.revision++
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// readable returns the entries that reads see: the frozen ones while stale reads are on.
func (s *Store) readable() map[string]record {
	if frozen := s.faults.frozen.Load(); frozen != nil {
		return *frozen
	}
	return s.entries
}

func lookup(entries map[string]record, key string) (store.Entry, error) {
	r, found := entries[key]
	if !found {
		return store.Entry{}, store.ErrNotFound
	}
	return r.entry(key), nil
}

var _ store.Store = (*Store)(nil)

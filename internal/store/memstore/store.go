// Package memstore is an in-memory store.Store with fault injection. It is used by
// tests and by the development stand-in of the platform's store. It starts no
// goroutines, so it needs no Close.
package memstore

import (
	"context"
	"sort"
	"strings"
	"sync"

	"peridotmoor.org/peridotmoor/internal/store"
)

// maxDelayed is the buffer size of Faults.Delayed.
const maxDelayed = 64

// Store keeps entries and leases in memory.
type Store struct {
	faults Faults

	mu  sync.Mutex
	era uint64
	// revision is that of the last change.
	revision uint64
	entries  map[string]record
	leases   map[store.LeaseID]*lease
	// changed is closed and replaced at each change; watchers wait for it.
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{
		faults:  Faults{delayed: make(chan struct{}, maxDelayed)},
		entries: map[string]record{},
		leases:  map[store.LeaseID]*lease{},
		changed: make(chan struct{}),
	}
}

// Faults returns the fault injection of the store.
func (s *Store) Faults() *Faults {
	return &s.faults
}

// Era implements store.EraStore.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
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
	return lookup(s.readEntries(), key)
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Entry, error) {
	if err := s.faults.beforeRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []store.Entry
	for key, r := range s.readEntries() {
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
	ctxErr, err := s.faults.beforeWrite(ctx)
	if err != nil {
		return store.Entry{}, err
	}
	entry, err := s.compareAndSwap(key, revision, value, id)
	if err == nil && (ctxErr != nil || s.faults.loseResponse()) {
		return store.Entry{}, store.Fail(store.ErrUncertain, ctxErr)
	}
	if ctxErr != nil {
		return store.Entry{}, store.Fail(store.ErrUncertain, ctxErr)
	}
	return entry, err
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	if err := s.faults.beforeRead(ctx); err != nil {
		return store.Entry{}, err
	}
	for {
		availabilityChanged := s.faults.availabilityChanged.wait()
		if s.faults.unavailable.Load() {
			return store.Entry{}, store.ErrUnavailable
		}
		entry, changed, err := s.entryAndChange(key, after)
		if err != nil || entry.Revision > after {
			return entry, err
		}
		select {
		case <-changed:
		case <-availabilityChanged:
		case <-ctx.Done():
			return store.Entry{}, ctx.Err()
		}
	}
}

// entryAndChange returns the current entry and a channel that the next change closes. A
// missing key is not an error for a watcher that has not seen a revision of it.
func (s *Store) entryAndChange(key string, after uint64) (store.Entry, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, err := lookup(s.entries, key)
	if err != nil && after == 0 {
		return store.Entry{}, s.changed, nil
	}
	return entry, s.changed, err
}

func (s *Store) compareAndSwap(key string, revision uint64, value []byte, id store.LeaseID) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := s.leaseFor(id)
	if err != nil {
		return store.Entry{}, err
	}
	current := s.entries[key]
	if current.revision != revision {
		return current.entry(key), store.ErrConflict
	}
	s.detachLease(key, current.lease)
	s.revision++
	next := record{value: append([]byte{}, value...), revision: s.revision, lease: id}
	s.entries[key] = next
	if l != nil {
		l.keys[key] = true
	}
	s.notifyWatchers()
	return next.entry(key), nil
}

// Put writes a key unconditionally, as another client of the store would.
func (s *Store) Put(key string, value []byte) store.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detachLease(key, s.entries[key].lease)
	s.revision++
	s.entries[key] = record{value: append([]byte{}, value...), revision: s.revision}
	s.notifyWatchers()
	return s.entries[key].entry(key)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(key)
	s.notifyWatchers()
}

func (s *Store) deleteLocked(key string) {
	s.detachLease(key, s.entries[key].lease)
	delete(s.entries, key)
	s.revision++
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// readEntries returns the entries that reads see: the snapshot while stale reads are
// enabled, otherwise the current entries.
func (s *Store) readEntries() map[string]record {
	if staleEntries := s.faults.staleEntries.Load(); staleEntries != nil {
		return *staleEntries
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

var _ store.EraStore = (*Store)(nil)

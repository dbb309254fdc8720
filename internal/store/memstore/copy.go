package memstore

import (
	"maps"
	"strings"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// Copy is the content of a Store at one point in time.
type Copy struct {
	revision uint64
	entries  map[string]record
	leases   map[store.LeaseID]time.Duration
}

// Copy returns the content of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, entries: maps.Clone(s.entries), leases: map[store.LeaseID]time.Duration{}}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore replaces the content of the store by a copy and begins the next era. Leases of
// the copy last for their ttl from now. Revisions and lease IDs that were given out since the
// copy are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.era++
	s.revision, s.entries, s.leases = c.revision, maps.Clone(c.entries), map[store.LeaseID]*lease{}
	for id, ttl := range c.leases {
		restored := &lease{ttl: ttl, keys: map[string]bool{}}
		restored.timer = time.AfterFunc(ttl, func() { s.expireLease(id, restored) })
		s.leases[id] = restored
	}
	for key, r := range s.entries {
		if l := s.leases[r.lease]; l != nil {
			l.keys[key] = true
		}
	}
	s.notifyWatchers()
}

// WriteAgain brings the keys with the prefix back to what they are in a copy, as their writers
// do after the store has lost what they wrote.
func (s *Store) WriteAgain(c Copy, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.entries {
		if _, kept := c.entries[key]; !kept && strings.HasPrefix(key, prefix) {
			s.deleteLocked(key)
		}
	}
	for key, r := range c.entries {
		if strings.HasPrefix(key, prefix) {
			s.revision++
			s.entries[key] = record{value: r.value, revision: s.revision}
		}
	}
	s.notifyWatchers()
}

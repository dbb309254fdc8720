package holder

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/store"
)

// writeFate is how a write of the record ends.
type writeFate int

const (
	writeDone writeFate = iota
	writeLost
	// writeUnanswered takes effect without an answer.
	writeUnanswered
	// writeLate takes effect later, if its condition still holds, without an answer.
	writeLate
)

// historyStore holds the record of a history. The other calls of a store are not used.
type historyStore struct {
	store.Store
	entry store.Entry
	// fate is that of the next write. A call that fails calls giveUp, so that the caller
	// does not wait until it tries again.
	fate   writeFate
	giveUp func()
	late   []func()
}

func (s *historyStore) Get(context.Context, string) (store.Entry, error) {
	if len(s.entry.Value) == 0 {
		return store.Entry{}, store.ErrNotFound
	}
	return s.entry, nil
}

func (s *historyStore) CompareAndSwap(_ context.Context, _ string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	apply := func() bool {
		current := s.entry.Revision
		if len(s.entry.Value) == 0 {
			current = 0
		}
		if current != revision {
			return false
		}
		s.entry = store.Entry{Key: KeyRecord, Value: value, Revision: s.entry.Revision + 1}
		return true
	}
	switch s.fate {
	case writeDone:
		if apply() {
			return s.entry, nil
		}
		s.giveUp()
		return s.entry, store.ErrConflict
	case writeUnanswered:
		apply()
	case writeLate:
		s.late = append(s.late, func() { apply() })
	}
	s.giveUp()
	return store.Entry{}, store.ErrUncertain
}

// applyLate makes all late writes take effect.
func (s *historyStore) applyLate() {
	for _, apply := range s.late {
		apply()
	}
	s.late = nil
}

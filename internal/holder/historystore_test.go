package holder

import (
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

// historyStore holds the records of a history. The key of the holder is that of the model.
type historyStore struct {
	era, revision uint64
	records       map[string]store.Entry
	// fate is that of the next write. A call that fails calls giveUp, so that the caller
	// does not wait until it tries again.
	fate   writeFate
	giveUp func()
	late   []func()
}

// write writes a record if its condition holds.
func (s *historyStore) write(key string, revision uint64, value []byte) bool {
	if s.records[key].Revision != revision {
		return false
	}
	s.revision++
	s.records[key] = store.Entry{Key: key, Value: value, Revision: s.revision}
	return true
}

// applyLate makes all late writes take effect.
func (s *historyStore) applyLate() {
	for _, apply := range s.late {
		apply()
	}
	s.late = nil
}

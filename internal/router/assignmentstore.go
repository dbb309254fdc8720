package router

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/shardrecord"
	"peridotmoor.org/peridotmoor/internal/store"
)

// errSuperseded means that a later holder has committed an assignment.
var errSuperseded = errors.New("a later holder of the shard has committed an assignment; this commit is discarded")

// assignmentStore implements shard.AssignmentStore on the shard record. It caches the
// newest assignment it has read, so that a takeover works during a store outage.
type assignmentStore struct {
	record  *shardrecord.Handle
	tenures authority.TenureSource
	cached  atomic.Pointer[committedAssignment]
}

func newAssignmentStore(record *shardrecord.Handle, tenures authority.TenureSource) *assignmentStore {
	return &assignmentStore{record: record, tenures: tenures}
}

// Load implements shard.AssignmentStore.
func (s *assignmentStore) Load(ctx context.Context) (assign.Assignment, error) {
	err := s.refresh(ctx)
	if cached := s.cached.Load(); cached != nil {
		return cached.Assignment, nil
	}
	return assign.Assignment{}, err
}

// refresh reads the record into the cache. Witnesses call it at regular intervals.
func (s *assignmentStore) refresh(ctx context.Context) error {
	record, err := s.record.Load(ctx)
	if errors.Is(err, store.ErrNotFound) {
		s.updateCache(committedAssignment{})
		return nil
	}
	if err != nil {
		return err
	}
	found, err := decodeAssignment(record)
	if err != nil {
		return err
	}
	s.updateCache(found)
	return nil
}

// Commit implements shard.AssignmentStore.
func (s *assignmentStore) Commit(ctx context.Context, next assign.Assignment) error {
	tenure := s.tenures.Tenure()
	if tenure == nil {
		return errSuperseded
	}
	value := committedAssignment{Token: tenure.Token, Assignment: next}
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode the assignment")
	}
	_, err = s.record.Commit(ctx, func(record shardrecord.Record) (shardrecord.Record, error) {
		found, err := decodeAssignment(record)
		if err != nil {
			return record, err
		}
		if tenure.Token.Less(found.Token) {
			return record, errSuperseded
		}
		record.Assignment = encoded
		return record, nil
	})
	if err != nil {
		return err
	}
	s.updateCache(value)
	return nil
}

// updateCache caches the assignment unless a cached one has a higher token: a slow read
// must not replace a later commit.
func (s *assignmentStore) updateCache(found committedAssignment) {
	for {
		old := s.cached.Load()
		if old != nil && found.Token.Less(old.Token) {
			return
		}
		if s.cached.CompareAndSwap(old, &found) {
			return
		}
	}
}

func decodeAssignment(record shardrecord.Record) (committedAssignment, error) {
	var found committedAssignment
	if len(record.Assignment) == 0 {
		return found, nil
	}
	err := json.Unmarshal(record.Assignment, &found)
	return found, errors.Wrap(err, "decode the assignment of the shard record")
}

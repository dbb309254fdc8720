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
var errSuperseded = errors.New("a later holder of the shard has committed an assignment; this one is dropped")

// committer implements shard.Committer over the shard record. It keeps the last
// assignment it has seen, so that a takeover during a store outage can go on.
type committer struct {
	record  *shardrecord.Handle
	tenures authority.TenureSource
	cached  atomic.Pointer[committedAssignment]
}

func newCommitter(record *shardrecord.Handle, tenures authority.TenureSource) *committer {
	return &committer{record: record, tenures: tenures}
}

// Load implements shard.Committer.
func (c *committer) Load(ctx context.Context) (assign.Assignment, error) {
	err := c.refresh(ctx)
	if cached := c.cached.Load(); cached != nil {
		return cached.Assignment, nil
	}
	return assign.Assignment{}, err
}

// refresh reads the record into the cache. Witnesses call it when a holder has
// announced a new commit.
func (c *committer) refresh(ctx context.Context) error {
	record, err := c.record.Load(ctx)
	if errors.Is(err, store.ErrNotFound) {
		c.remember(committedAssignment{})
		return nil
	}
	if err != nil {
		return err
	}
	found, err := decodeAssignment(record)
	if err != nil {
		return err
	}
	c.remember(found)
	return nil
}

// Commit implements shard.Committer.
func (c *committer) Commit(ctx context.Context, next assign.Assignment) error {
	tenure := c.tenures.Tenure()
	if tenure == nil {
		return errSuperseded
	}
	value := committedAssignment{Token: tenure.Token, Assignment: next}
	encoded, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode the assignment")
	}
	_, err = c.record.Commit(ctx, func(record shardrecord.Record) (shardrecord.Record, error) {
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
	c.remember(value)
	return nil
}

// remember keeps the assignment with the highest token: a slow read must not
// replace what a later commit stored.
func (c *committer) remember(found committedAssignment) {
	for {
		old := c.cached.Load()
		if old != nil && found.Token.Less(old.Token) {
			return
		}
		if c.cached.CompareAndSwap(old, &found) {
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

package shardrecord

import (
	"context"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/store"
)

// maxAttempts limits the compare-and-swap attempts of one commit. No more than
// two writers compete for a record in practice, so more attempts point to
// another fault.
const maxAttempts = 16

// Handle reads and writes the record of one shard. It has no state of its own
// and is safe for concurrent use.
type Handle struct {
	store store.Store
	key   string
	newID func() string
}

// NewHandle returns a handle of the shard's record.
func NewHandle(s store.Store, shard key.ShardID) *Handle {
	return &Handle{store: s, key: "shards/" + shard.String(), newID: uuid.NewString}
}

// Load returns the record. The error wraps store.ErrNotFound when there is no
// record yet.
func (h *Handle) Load(ctx context.Context) (Record, error) {
	record, _, err := h.read(ctx)
	return record, err
}

// Commit applies change to the latest record, writes the result by
// compare-and-swap and returns the record written. When another writer was
// faster, it applies change to the newer record.
//
// change gets the zero Record when there is none. When change fails, Commit
// writes nothing and returns the error as it is. Commit sets the sequence and
// the write IDs. An error that wraps store.ErrUncertain means that the change
// may still take effect.
func (h *Handle) Commit(ctx context.Context, change func(Record) (Record, error)) (Record, error) {
	current, revision, err := h.readOrZero(ctx)
	for attempt := 0; err == nil && attempt < maxAttempts; attempt++ {
		next, changeErr := change(current)
		if changeErr != nil {
			return current, changeErr
		}
		next = current.successor(next, h.newID())
		var done bool
		current, revision, done, err = h.write(ctx, next, revision)
		if done {
			return next, nil
		}
	}
	if err != nil {
		return Record{}, err
	}
	return Record{}, errors.Wrapf(store.ErrConflict, "commit the record %s after %d attempts", h.key, maxAttempts)
}

// write stores next over revision. When the store's response is lost, it
// determines the outcome from the write IDs in the store. done reports that next
// took effect; otherwise the newer record is returned.
func (h *Handle) write(ctx context.Context, next Record, revision uint64) (current Record, latest uint64, done bool, err error) {
	value, err := encode(next)
	if err != nil {
		return Record{}, 0, false, err
	}
	uncertain := false
	for range maxAttempts {
		_, err = h.store.CompareAndSwap(ctx, h.key, revision, value, "")
		if err == nil {
			return next, 0, true, nil
		}
		uncertain = uncertain || errors.Is(err, store.ErrUncertain)
		if !uncertain && !errors.Is(err, store.ErrConflict) {
			return Record{}, 0, false, errors.Wrapf(err, "write the record %s", h.key)
		}
		current, latest, err = h.readOrZero(ctx)
		if err != nil {
			return Record{}, 0, false, h.outcomeError(err, uncertain)
		}
		if current.includesWrite(next.WriteID) {
			return next, latest, true, nil
		}
		if latest != revision {
			return current, latest, false, h.checkOutcomeKnown(next, current, uncertain)
		}
		// The lost write may still arrive, so the same value is written again:
		// at most one of the two can succeed against this revision.
	}
	return Record{}, 0, false, h.outcomeError(store.ErrUncertain, uncertain)
}

// checkOutcomeKnown returns an error when the outcome of an uncertain write can
// no longer be told from the record, because too many writes followed it.
func (h *Handle) checkOutcomeKnown(next, current Record, uncertain bool) error {
	if uncertain && current.Sequence > next.Sequence+maxRecentWriteIDs {
		return h.outcomeError(store.ErrUncertain, true)
	}
	return nil
}

func (h *Handle) outcomeError(err error, uncertain bool) error {
	if uncertain {
		return errors.Wrapf(store.ErrUncertain, "write the record %s: %v", h.key, err)
	}
	return errors.Wrapf(err, "read the record %s", h.key)
}

func (h *Handle) read(ctx context.Context) (Record, uint64, error) {
	entry, err := h.store.Get(ctx, h.key)
	if err != nil {
		return Record{}, 0, errors.Wrapf(err, "read the record %s", h.key)
	}
	record, err := decode(entry.Value)
	return record, entry.Revision, errors.Wrapf(err, "read the record %s", h.key)
}

func (h *Handle) readOrZero(ctx context.Context) (Record, uint64, error) {
	record, revision, err := h.read(ctx)
	if errors.Is(err, store.ErrNotFound) {
		return Record{}, 0, nil
	}
	return record, revision, err
}

package holder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store"
)

// ErrSuperseded means that another instance has become the holder.
var ErrSuperseded = errors.New("another instance has become the holder; follow it")

// recordStore reads and writes the record of owners in the store, as one holder.
type recordStore struct {
	store store.Store
	// tenureName identifies the tenure. Each tenure has its own name and epoch, since
	// two tenures with the same epoch would use the same fences.
	tenureName string
	// revision is the revision of the record when it was last read or written.
	revision uint64
}

// claim writes the record with the next epoch and the name of this tenure. It returns
// the record found, with the new epoch.
func (s *recordStore) claim(ctx context.Context) (owners.Record, error) {
	for {
		record, err := s.read(ctx)
		if err == nil && record.Holder != s.tenureName {
			record.Epoch++
			record.Holder = s.tenureName
			claimed := record
			claimed.InheritedGrantsPending, claimed.Yielded = true, false
			err = s.write(ctx, claimed)
		}
		if err == nil {
			return record, nil
		}
		if ctx.Err() != nil {
			return record, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(storeRetryDelay):
		}
	}
}

// read returns the stored record, or an empty one if there is none.
func (s *recordStore) read(ctx context.Context) (owners.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := s.store.Get(ctx, KeyRecord)
	if errors.Is(err, store.ErrNotFound) {
		s.revision = 0
		return owners.Record{}, nil
	}
	if err != nil {
		return owners.Record{}, err
	}
	s.revision = entry.Revision
	return owners.DecodeRecord(entry.Value)
}

// write replaces the record. If the response to an earlier write was lost, it fails
// with a conflict; the name of the tenure in the stored record shows that the earlier
// write was this tenure's, and the caller can write again.
func (s *recordStore) write(ctx context.Context, record owners.Record) error {
	text, err := record.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := s.store.CompareAndSwap(ctx, KeyRecord, s.revision, text, "")
	if errors.Is(err, store.ErrConflict) {
		return s.resolveConflict(entry, err)
	}
	if err != nil {
		return err
	}
	s.revision = entry.Revision
	return nil
}

// resolveConflict returns ErrSuperseded if the stored record belongs to another tenure.
// Otherwise it adopts the stored revision and returns cause.
func (s *recordStore) resolveConflict(entry store.Entry, cause error) error {
	found, err := owners.DecodeRecord(entry.Value)
	if err != nil {
		return err
	}
	if found.Holder != s.tenureName {
		return errors.Wrap(ErrSuperseded, found.Holder)
	}
	s.revision = entry.Revision
	return cause
}

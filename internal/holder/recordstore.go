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

// errUnconfirmed means that a record of another program is not replaced yet, since another
// instance may have become the holder before the record was spoiled.
var errUnconfirmed = errors.New("the record of key owners is replaced once the lease of the holder is confirmed")

// recordStore reads and writes the record of owners in the store, as one holder.
type recordStore struct {
	store store.Store
	// tenureName identifies the tenure. Each tenure has its own name and epoch, since
	// two tenures with the same epoch would use the same fences.
	tenureName string
	// followedHolder is set if this instance knows the owners that an earlier holder has
	// published, so that there was a record.
	followedHolder bool
	// forgetFleet is set if an earlier holder may act without its fleet, so that neither this
	// holder nor a successor may rely on the fleet in the record.
	forgetFleet bool
	// leaseConfirmedAt returns when the lease was last confirmed, or the zero time.
	leaseConfirmedAt func() time.Time
	// revision is the revision of the record when it was last read or written.
	revision uint64
	// replacedTenure is the tenure whose record claim has replaced, or empty if there was no
	// readable record.
	replacedTenure string
	// spoiledAt is when write found a record that no holder has written, or the zero time.
	spoiledAt time.Time
}

// claim writes the record with the next epoch and the name of this tenure. It returns
// the record found, with the new epoch.
func (s *recordStore) claim(ctx context.Context) (owners.Record, error) {
	for {
		record, err := s.readForClaim(ctx)
		s.spoiledAt = time.Time{}
		if err == nil && record.Holder != s.tenureName {
			s.replacedTenure = record.Holder
			record.Epoch++
			record.Holder = s.tenureName
			if s.forgetFleet {
				record.Fleet = nil
			}
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

// readForClaim is like read, but begins a new record in place of one that another program
// has spoiled or deleted.
func (s *recordStore) readForClaim(ctx context.Context) (owners.Record, error) {
	record, err := s.read(ctx)
	spoiled := errors.Is(err, owners.ErrUnreadableRecord)
	deleted := err == nil && s.revision == 0 && s.followedHolder
	if !spoiled && !deleted {
		return record, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key, err := s.store.Get(ctx, KeyHolder)
	if err != nil {
		return owners.Record{}, err
	}
	// No earlier epoch is above the revision of a later write.
	return owners.Record{Epoch: int64(max(s.revision, key.Revision)), RangesLost: true, InheritedGrantsPending: true}, nil
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
	return owners.DecodeRecord(entry.Value, entry.Revision)
}

// write replaces the record. If the response to an earlier write was lost, it fails
// with a conflict; the name of the tenure in the stored record shows that the earlier
// write was this tenure's, and the caller can write again. It also fails with a conflict
// if another program has spoiled the record; the caller can write again.
func (s *recordStore) write(ctx context.Context, record owners.Record) error {
	if !s.spoiledAt.IsZero() && !s.leaseConfirmedAt().After(s.spoiledAt) {
		return errUnconfirmed
	}
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
	s.revision, s.spoiledAt = entry.Revision, time.Time{}
	return nil
}

// resolveConflict returns ErrSuperseded if the stored record belongs to another tenure.
// Otherwise it adopts the stored revision and returns cause.
//
// If no holder has written what is stored, it may have replaced the record of a successor.
// A lease that is confirmed after this shows that there was none at this revision.
func (s *recordStore) resolveConflict(entry store.Entry, cause error) error {
	found, err := owners.DecodeRecord(entry.Value, entry.Revision)
	if err != nil {
		s.revision, s.spoiledAt = entry.Revision, time.Now()
		return err
	}
	if found.Holder != s.tenureName {
		return errors.Wrap(ErrSuperseded, found.Holder)
	}
	s.revision, s.spoiledAt = entry.Revision, time.Time{}
	return cause
}

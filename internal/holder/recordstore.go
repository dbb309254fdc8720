package holder

import (
	"context"
	"sync/atomic"
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

// errOtherEra means that the store has come back from an older copy, so that the lease of the
// tenure may not be valid any more.
var errOtherEra = errors.New("the store is in another era than the lease of the holder")

// recordStore reads and writes the record of owners in the store, as one holder.
type recordStore struct {
	store store.EraStore
	// era is the era of the store in which the lease of the tenure is valid. Each era has a
	// record of its own: a late write of an era before must not meet its condition, as the
	// store gives revisions out again.
	era atomic.Uint64
	// tenureName identifies the tenure. Each tenure has its own name and epoch, since
	// two tenures with the same epoch would use the same fences.
	tenureName string
	// followedHolder is set if this instance knows the owners that an earlier holder has
	// published, so that there was a record.
	followedHolder bool
	// told is the record that matches the owners that this instance was told of, or empty.
	told owners.Record
	// firstFleet is set if there can have been no holder before, so that no record was lost.
	firstFleet bool
	// forgetFleet is set if an earlier holder may act without its fleet, so that neither this
	// holder nor a successor may rely on the fleet in the record.
	forgetFleet bool
	// leaseConfirmedAt returns when the lease was last confirmed, or the zero time.
	leaseConfirmedAt func() time.Time
	// revision is the revision of the record of revisionEra when it was last read or written.
	revision, revisionEra uint64
	// older is set if read has found no record of the era, but one of an era before.
	older bool
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
			record.Epoch = s.nextEpoch(record.Epoch)
			record.Holder = s.tenureName
			if s.older {
				record = record.Doubtful()
			}
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
		if ctx.Err() != nil || errors.Is(err, errOtherEra) {
			return record, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(storeRetryDelay):
		}
	}
}

// nextEpoch returns the epoch of the tenure that follows the one with the given epoch. In a
// later era of the store there may have been holders of which the store knows no more.
func (s *recordStore) nextEpoch(epoch int64) int64 {
	if era := s.era.Load(); era > 0 {
		return max(epoch+1, owners.FirstEpoch(era), s.told.Epoch+1)
	}
	return epoch + 1
}

// readForClaim is like read, but begins a new record in place of one that another program
// has spoiled or deleted, or that the store has lost. Of an older record and the owners that
// this instance was told of, it returns the newer ones.
func (s *recordStore) readForClaim(ctx context.Context) (owners.Record, error) {
	record, err := s.read(ctx)
	if known, found := s.lostRecord(record); err == nil && found {
		return known, nil
	}
	spoiled := errors.Is(err, owners.ErrUnreadableRecord)
	deleted := err == nil && s.revision == 0 && (s.followedHolder || s.revisionEra > 0 && !s.firstFleet)
	if !spoiled && !deleted {
		return record, err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key, err := s.store.Get(ctx, KeyHolder)
	if err == nil {
		err = s.checkEra(s.revisionEra)
	}
	if err != nil {
		return owners.Record{}, err
	}
	// No earlier epoch is above the bound for a later write.
	return owners.Record{Epoch: int64(owners.MaxEpoch(s.revisionEra, max(s.revision, key.Revision))), RangesLost: true, InheritedGrantsPending: true}, nil
}

// lostRecord returns what is known of the record if that of the era has not been written yet:
// the older record that was read, or the owners that this instance was told of.
func (s *recordStore) lostRecord(older owners.Record) (owners.Record, bool) {
	toldOf := s.told.Epoch > 0 && s.told.Epoch < owners.FirstEpoch(s.revisionEra)
	if s.revisionEra == 0 || s.revision != 0 || !s.older && !toldOf {
		return owners.Record{}, false
	}
	s.older = true
	if !toldOf || s.told.Epoch < older.Epoch || !s.told.IsComplete() {
		return older, true
	}
	told := s.told
	told.Addresses, told.Holder, told.MaxProcessorShare = older.Addresses, older.Holder, older.MaxProcessorShare
	return told, true
}

// read returns the stored record, or an empty one if there is none. If there is none of the
// era, it returns the newest one of an era before.
func (s *recordStore) read(ctx context.Context) (owners.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	era := s.era.Load()
	s.older = false
	entry, err := s.store.Get(ctx, recordKey(era))
	if changed := s.checkEra(era); changed != nil {
		return owners.Record{}, changed
	}
	if errors.Is(err, store.ErrNotFound) {
		s.revision, s.revisionEra = 0, era
		return s.readOlder(ctx, era)
	}
	if err != nil {
		return owners.Record{}, err
	}
	s.revision, s.revisionEra = entry.Revision, era
	return owners.DecodeRecord(entry.Value, owners.MaxEpoch(era, entry.Revision))
}

// readOlder returns the readable record of an era before with the highest epoch, or an empty
// record if there is none.
func (s *recordStore) readOlder(ctx context.Context, era uint64) (owners.Record, error) {
	if era == 0 {
		return owners.Record{}, nil
	}
	entries, err := s.store.List(ctx, KeyRecord)
	if changed := s.checkEra(era); changed != nil {
		return owners.Record{}, changed
	}
	if err != nil {
		return owners.Record{}, err
	}
	var newest owners.Record
	for _, entry := range entries {
		writtenIn, isRecord := eraOfRecordKey(entry.Key)
		if !isRecord || writtenIn >= era {
			continue
		}
		s.older = true
		record, err := owners.DecodeRecord(entry.Value, owners.MaxEpoch(writtenIn, entry.Revision))
		if err == nil && record.Epoch > newest.Epoch {
			newest = record
		}
	}
	return newest, nil
}

// checkEra returns an error if the store is known to be in another era than the given one. An
// answer before it was of that era.
func (s *recordStore) checkEra(era uint64) error {
	if current := s.store.Era(); current != era {
		return errors.Wrapf(errOtherEra, "%d instead of %d", current, era)
	}
	return nil
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
	era := s.era.Load()
	if s.revisionEra != era {
		s.revision, s.revisionEra, s.spoiledAt = 0, era, time.Time{}
	}
	if err := s.checkEra(era); err != nil {
		return err
	}
	entry, err := s.store.CompareAndSwap(ctx, recordKey(era), s.revision, text, "")
	if changed := s.checkEra(era); changed != nil {
		return changed
	}
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
	found, err := owners.DecodeRecord(entry.Value, owners.MaxEpoch(s.revisionEra, entry.Revision))
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

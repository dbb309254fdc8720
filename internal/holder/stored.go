package holder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store"
)

// ErrDeposed means that another instance has become the holder.
var ErrDeposed = errors.New("another instance has become the holder; follow it")

// recordStore is the record of owners in the store, as its holder last saw it.
type recordStore struct {
	store store.Store
	// tenureName names the tenure. Each tenure has a name and an epoch of its own, since
	// the fences of two tenures under one epoch would be the same.
	tenureName   string
	revision uint64
}

// claim raises the epoch in the name of the holder and returns the record that was
// found, with the new epoch.
func (s *recordStore) claim(ctx context.Context) (owners.Record, error) {
	for {
		record, err := s.read(ctx)
		if err == nil && record.Holder != s.tenureName {
			record.Epoch++
			record.Holder = s.tenureName
			claimed := record
			claimed.Unsettled, claimed.Yielded = true, false
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

// markYielded notes that the tenure has ended for a stronger machine.
func (s *recordStore) markYielded(ctx context.Context) error {
	record, err := s.read(ctx)
	if err != nil || record.Holder != s.tenureName {
		return err
	}
	record.Yielded = true
	return s.write(ctx, record)
}

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

// write replaces the record. An own write whose answer was lost is recognised
// by the holder's name; the record is then written once more.
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

func (s *recordStore) resolveConflict(entry store.Entry, cause error) error {
	found, err := owners.DecodeRecord(entry.Value)
	if err != nil {
		return err
	}
	if found.Holder != s.tenureName {
		return errors.Wrap(ErrDeposed, found.Holder)
	}
	s.revision = entry.Revision
	return cause
}

package holder

import (
	"context"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store"
)

// CheckStore returns which of the keys that holders write cannot be read. Its errors are
// those of the store.
func CheckStore(ctx context.Context, s store.Store) ([]fleet.UnreadableEntry, error) {
	var found []fleet.UnreadableEntry
	note := func(key string, err error) {
		if err != nil {
			found = append(found, fleet.UnreadableEntry{Key: key, Reason: err.Error()})
		}
	}
	entry, err := s.Get(ctx, KeyHolder)
	if err == nil {
		_, err := decodeIdentity(entry.Value)
		note(KeyHolder, err)
	} else if !errors.Is(err, store.ErrNotFound) {
		return nil, err
	}
	records, err := s.List(ctx, KeyRecord)
	if err != nil {
		return nil, err
	}
	for _, entry := range records {
		if era, isRecord := eraOfRecordKey(entry.Key); isRecord {
			_, err := owners.DecodeRecord(entry.Value, owners.MaxEpoch(era, entry.Revision))
			note(entry.Key, err)
		}
	}
	return found, nil
}

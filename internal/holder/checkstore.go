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
	for key, decode := range map[string]func(store.Entry) error{
		KeyHolder: func(e store.Entry) error { _, err := decodeIdentity(e.Value); return err },
		KeyRecord: func(e store.Entry) error { _, err := owners.DecodeRecord(e.Value, e.Revision); return err },
	} {
		entry, err := s.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if err := decode(entry); err != nil {
			found = append(found, fleet.UnreadableEntry{Key: key, Reason: err.Error()})
		}
	}
	return found, nil
}

package holder

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/store"
)

// unreadableStore is a store whose keys cannot be read.
type unreadableStore struct {
	store.EraStore
}

func (unreadableStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrUnavailable
}

package holder

import (
	"context"
	"slices"
	"strings"

	"peridotmoor.org/peridotmoor/internal/store"
)

// historyClient is the client of one process of an instance for the store of a history. The
// calls for leases are not used.
type historyClient struct {
	store.EraStore
	m *historyModel
	// era is the highest era of the answers.
	era uint64
}

// Era implements store.EraStore.
func (c *historyClient) Era() uint64 { return c.era }

func (c *historyClient) Get(_ context.Context, key string) (store.Entry, error) {
	c.era = c.m.store.era
	if key == KeyHolder {
		if c.m.key == nil {
			c.m.store.giveUp() // a claim tries again until its time is over
			return store.Entry{}, store.ErrNotFound
		}
		return store.Entry{Key: key, Revision: c.m.key.revision}, nil
	}
	entry, found := c.m.store.records[key]
	if !found {
		return store.Entry{}, store.ErrNotFound
	}
	return entry, nil
}

func (c *historyClient) List(_ context.Context, prefix string) ([]store.Entry, error) {
	c.era = c.m.store.era
	var out []store.Entry
	for key, entry := range c.m.store.records {
		if strings.HasPrefix(key, prefix) {
			out = append(out, entry)
		}
	}
	slices.SortFunc(out, func(a, b store.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

func (c *historyClient) CompareAndSwap(_ context.Context, key string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	s := c.m.store
	switch s.fate {
	case writeDone:
		known := c.era
		c.era = s.era
		written := s.write(key, revision, value)
		if known != s.era {
			s.giveUp()
			return store.Entry{}, store.ErrUncertain // as platform.StoreClient
		}
		if written {
			return s.records[key], nil
		}
		s.giveUp()
		return s.records[key], store.ErrConflict
	case writeUnanswered:
		s.write(key, revision, value)
	case writeLate:
		s.late = append(s.late, func() { s.write(key, revision, value) })
	}
	s.giveUp()
	return store.Entry{}, store.ErrUncertain
}

package publish

import (
	"context"
	"math/rand/v2"

	"peridotmoor.org/peridotmoor/internal/settings/version"
	"peridotmoor.org/peridotmoor/internal/store"
)

// staleStore returns an old entry for reads of the current settings.
type staleStore struct {
	store.Store
	entry store.Entry
}

func (s *staleStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if key == version.CurrentKey {
		return s.entry, nil
	}
	return s.Store.Get(ctx, key)
}

// newSettingsWatcher returns a settings watcher of s at an instance where the version that the
// network's store holds now is in effect.
func (n *network) newSettingsWatcher(s store.Store) *settingsWatcher {
	entry := n.currentEntry()
	v, err := version.Decode(entry.Value)
	if err != nil {
		n.t.Fatal(err)
	}
	installed, err := decodeSettings(newSettingsValue(v.Number, entry.Value))
	if err != nil {
		n.t.Fatal(err)
	}
	p := New(Config{Store: s})
	p.settings.Store(installed)
	return &settingsWatcher{publisher: p, random: rand.New(rand.NewPCG(1, 1))}
}

package publish

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/settings/version"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Guards against the settings being reverted after the store was restored with an older value,
// none, or a corrupted one.
func TestRestoredStoreIsRepaired(t *testing.T) {
	cases := map[string]func(old store.Entry) []store.Entry{
		"older": func(old store.Entry) []store.Entry { return []store.Entry{old} },
		"empty": func(store.Entry) []store.Entry { return nil },
		"damaged": func(old store.Entry) []store.Entry {
			return []store.Entry{{Key: old.Key, Value: []byte("{"), Revision: 1}}
		},
	}
	for name, content := range cases {
		t.Run(name, func(t *testing.T) {
			runNetwork(t, func(t *testing.T, n *network) {
				is := is.New(t)
				n.apply(1)
				old := n.currentEntry()
				n.apply(2)
				latest := n.apply(3)
				for i := range 4 {
					n.start(i, []string{"a", "b"}[i%2])
				}
				n.awaitVersion(3, propagationTarget)
				time.Sleep(10 * time.Second) // both failure domains have a watcher
				n.store.Restore(content(old)...)
				time.Sleep(propagationTarget)
				n.awaitVersion(3, 0)
				stored, err := version.Decode(n.currentEntry().Value)
				is.NoErr(err)
				is.Equal(stored, latest)
				n.apply(4)
				n.awaitVersion(4, propagationTarget)
			})
		})
	}
}

// Guards against a repair after a stale read that overwrites a newer version in the store.
func TestStaleReadRepairsNothing(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		old := n.currentEntry()
		n.apply(2)
		w := n.newSettingsWatcher(&staleStore{Store: n.store, entry: old})
		before := n.store.Calls("cas")
		w.reconcile(t.Context(), old) // reads the stale entry again and attempts the repair
		is.True(n.store.Calls("cas") > before)
		stored, err := version.Decode(n.currentEntry().Value)
		is.NoErr(err)
		is.Equal(stored.Number, uint64(2))
	})
}

// Guards against a single stale read that already causes a write.
func TestSingleStaleReadCausesNoWrite(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		old := n.currentEntry()
		n.apply(2)
		w := n.newSettingsWatcher(n.store)
		revision := n.currentEntry().Revision
		w.reconcile(t.Context(), old)
		is.Equal(n.currentEntry().Revision, revision)
	})
}

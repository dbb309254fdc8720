package publish

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a starting instance that waits for the store although a peer has settings.
func TestNewInstanceDuringOutage(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		n.start(0, "a")
		n.awaitVersion(1, propagationTarget)
		n.store.SetHooks(storeOutage, nil)
		started := time.Now()
		fresh := n.start(1, "a")
		<-fresh.Ready()
		is.True(time.Since(started) < time.Second)
		is.Equal(fresh.Settings().Version.Number, uint64(1))
		is.Equal(fresh.Settings().Tree.Control().MaxMovesPerSecond, 2)
		time.Sleep(time.Hour) // the outage lasts an hour
		n.awaitVersion(1, 0)
		n.store.SetHooks(nil, nil)
		n.apply(2)
		n.awaitVersion(2, propagationTarget)
	})
}

// Guards against a starting instance that installs an older version from a restored store
// while its peers are slow to respond.
func TestNewInstanceIgnoresOlderStore(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		old := n.currentEntry()
		n.apply(2)
		n.start(0, "a")
		n.awaitVersion(2, propagationTarget)
		n.store.Restore(old)
		n.setUnreachable("0", true)
		fresh := n.start(1, "b")
		time.Sleep(2 * time.Second)
		is.Equal(fresh.Settings(), nil)
		n.setUnreachable("0", false)
		<-fresh.Ready()
		is.Equal(fresh.Settings().Version.Number, uint64(2))
	})
}

// Guards against a fleet that never starts because all instances wait for each other.
func TestFirstStartReadsTheStore(t *testing.T) {
	runNetwork(t, func(t *testing.T, n *network) {
		for i := range 6 {
			n.start(i, "a")
		}
		time.Sleep(10 * time.Second)
		n.apply(1)
		n.awaitVersion(1, propagationTarget)
	})
}

package publish

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a starting instance that waits for the store although a peer
// has the settings.
func TestNewInstanceDuringOutage(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		n.start(0, "a")
		n.awaitVersion(1, inEffectEverywhere)
		n.store.SetHooks(outage, nil)
		started := time.Now()
		fresh := n.start(1, "a")
		<-fresh.Ready()
		is.True(time.Since(started) < time.Second)
		is.Equal(fresh.Settings().Version.Number, uint64(1))
		is.Equal(fresh.Settings().Tree.Control().MaxMovesPerSecond, 2)
		time.Sleep(time.Hour) // an hour of outage
		n.awaitVersion(1, 0)
		n.store.SetHooks(nil, nil)
		n.apply(2)
		n.awaitVersion(2, inEffectEverywhere)
	})
}

// Guards against a starting instance that takes an older version from a
// restored store while its peers answer late.
func TestNewInstanceDoesNotTakeOlderStore(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		is := is.New(t)
		n.apply(1)
		old := n.backup()
		n.apply(2)
		n.start(0, "a")
		n.awaitVersion(2, inEffectEverywhere)
		n.store.Restore(old)
		n.setCut("0", true)
		fresh := n.start(1, "b")
		time.Sleep(2 * time.Second)
		is.Equal(fresh.Settings(), nil)
		n.setCut("0", false)
		<-fresh.Ready()
		is.Equal(fresh.Settings().Version.Number, uint64(2))
	})
}

// Guards against a fleet that never starts because each waits for the others.
func TestFirstStartReadsTheStore(t *testing.T) {
	run(t, func(t *testing.T, n *network) {
		for i := range 6 {
			n.start(i, "a")
		}
		time.Sleep(10 * time.Second)
		n.apply(1)
		n.awaitVersion(1, inEffectEverywhere)
	})
}

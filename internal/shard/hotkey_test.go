package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/key"
)

// A key with most of the requests gets a range of its own, without a gap, and
// loses it when it has cooled. Guards against samples or rates that get lost
// between the request path and the planner.
func TestHotKeyGetsItsOwnRange(t *testing.T) {
	inWorld(t, 6, func(t *testing.T, w *world) {
		is := is.New(t)
		w.settle()
		hot := w.hashes[8] + 5
		w.update(func() { w.hashes = append(w.hashes, hot) })
		run := &historyRun{w: w}
		for range 3 {
			run.heat(hot)
		}
		is.Equal(w.holder.runtime.Views().Load().Find(hot).Bounds, key.Single(hot))
		is.True(w.gap() <= 50*time.Millisecond)
		time.Sleep(150 * time.Second) // the cooldown of 120 s and the fading of the rate
		is.True(!w.holder.runtime.Views().Load().Find(hot).Bounds.IsSingle())
	})
}

package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/route"
)

// Guards against a request that is refused, or sent to the old owner, while its key
// range moves.
func TestBlockedRangeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := newRunLog()
		a := newFakeServer("bosho-01", log, refuseConnection)
		b := newFakeServer("bosho-02", log, respondAfter(time.Millisecond))
		env := newTestEnv(true, 1, Limits{}, a, b)
		defer env.close()
		blocked := make(chan struct{})
		env.holder.replaceRange(func(r *route.Range) { r.Blocked = blocked })
		time.AfterFunc(300*time.Millisecond, func() {
			env.holder.replaceRange(func(r *route.Range) { r.Blocked, r.Owner = nil, env.holder.targets[1] })
			close(blocked)
		})
		start := time.Now()
		_, err := env.holder.handle(t.Context(), newRequest(true))
		is.NoErr(err)
		is.Equal(time.Since(start), 301*time.Millisecond)
	})
}

// replaceRange publishes a view in which the range is changed.
func (h *testHolder) replaceRange(change func(*route.Range)) {
	view := *h.views.Load()
	changed := view.Ranges[0]
	change(&changed)
	view.Ranges = []route.Range{changed}
	h.views.Store(&view)
}

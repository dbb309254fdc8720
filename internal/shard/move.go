package shard

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/route"
)

// startMove holds new requests of the range. The next view shows it.
func (t *term) startMove(r *row, now time.Time) {
	t.options.Log.Emit(events.MoveStarted, "shard", t.options.Shard.String(),
		"range", r.bounds.String(), "from", r.owner, "to", r.want)
	r.phase = draining
	r.heldAt = now
	r.heldFrom = t.generation() + 1
	t.watch(r)
}

// cancelMove opens the range at its old owner again.
func (t *term) cancelMove(r *row) {
	r.phase = serving
	r.stopWatching()
}

// putOff opens the range at its old owner and retries the move later.
func (t *term) putOff(r *row, now time.Time) {
	t.cancelMove(r)
	r.retryAt = now.Add(moveBackoff(r.putOffs))
	r.putOffs++
	t.counters.putOff++
	t.alarm.at(r.retryAt)
	t.options.Log.Emit(events.MovePutOff, "shard", t.options.Shard.String(),
		"range", r.bounds.String(), "in_flight", r.inFlight())
}

// watch wakes the term when requests of the range end.
func (t *term) watch(r *row) {
	ctx, cancel := context.WithCancel(t.ctx)
	r.unwatch = cancel
	for _, state := range append([]*route.RangeState{r.state}, r.earlier...) {
		t.runtime.senders.Go(func() { t.watchState(ctx, state) })
	}
}

func (t *term) watchState(ctx context.Context, state *route.RangeState) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-state.Idle():
			t.wakeUp()
		}
	}
}

// wakeUp makes the term take a step. It may be called from any goroutine.
func (t *term) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

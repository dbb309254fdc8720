package shard

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/route"
)

// startMove blocks new requests of the range, from the next published view on.
func (c *coordinator) startMove(r *managedRange, now time.Time) {
	c.options.Log.Emit(events.MoveStarted, "shard", c.options.Shard.String(),
		"range", r.bounds.String(), "from", r.owner, "to", r.desiredOwner)
	r.phase = draining
	r.blockedAt = now
	r.blockedInGeneration = c.generation() + 1
	c.watchInFlight(r)
}

// cancelMove lets requests through to the old owner again.
func (c *coordinator) cancelMove(r *managedRange) {
	r.phase = serving
	r.stopWatching()
}

// postponeMove lets requests through to the old owner again and retries the move later.
func (c *coordinator) postponeMove(r *managedRange, now time.Time) {
	c.cancelMove(r)
	r.moveRetryAt = now.Add(moveBackoff(r.postponements))
	r.postponements++
	c.counters.movesPostponed++
	c.wakeTime.add(r.moveRetryAt)
	c.options.Log.Emit(events.MovePutOff, "shard", c.options.Shard.String(),
		"range", r.bounds.String(), "in_flight", r.inFlight())
}

// watchInFlight wakes the coordinator when the last request in flight of the range
// ends.
func (c *coordinator) watchInFlight(r *managedRange) {
	ctx, cancel := context.WithCancel(c.ctx)
	r.stopWatch = cancel
	for _, state := range append([]*route.RangeState{r.state}, r.earlierStates...) {
		c.runtime.goroutines.Go(func() { c.watchState(ctx, state) })
	}
}

func (c *coordinator) watchState(ctx context.Context, state *route.RangeState) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-state.Idle():
			c.wakeUp()
		}
	}
}

// wakeUp makes the coordinator take a step. It may be called from any goroutine.
func (c *coordinator) wakeUp() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

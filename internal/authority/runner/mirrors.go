package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// mirrorWaiter is a caller that waits until its mirror set is acknowledged or
// the shard is lost.
type mirrorWaiter struct {
	generation uint64
	done       chan error
}

// ProposeMirrors proposes the mirror set of a held shard, and returns once a
// majority of its witnesses has acknowledged this set or a later one. Added
// members must already have a complete copy of the shard's request records.
func (r *Runner) ProposeMirrors(ctx context.Context, shard key.ShardID, members []authority.Instance) error {
	done := make(chan error, 1)
	err := r.enqueue(ctx, func(now time.Time) { r.proposeMirrors(now, shard, members, done) })
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for a majority of the witnesses of %s to acknowledge its mirrors", shard)
	}
}

func (r *Runner) proposeMirrors(now time.Time, shard key.ShardID, members []authority.Instance, done chan error) {
	generation, ok := r.node.ProposeMirrors(now, shard, members)
	if !ok {
		done <- ErrNotHeld
		return
	}
	r.mirrorWaiters[shard] = append(r.mirrorWaiters[shard], mirrorWaiter{generation: generation, done: done})
}

// notifyMirrorWaiters answers the waiters whose result follows from the
// published tenure.
func (r *Runner) notifyMirrorWaiters(shard key.ShardID, tenure *authority.Tenure) {
	waiting := r.mirrorWaiters[shard][:0]
	for _, w := range r.mirrorWaiters[shard] {
		switch {
		case tenure == nil:
			w.done <- ErrNotHeld
		case tenure.Mirrors.Generation >= w.generation:
			w.done <- nil
		default:
			waiting = append(waiting, w)
		}
	}
	if len(waiting) == 0 {
		delete(r.mirrorWaiters, shard)
		return
	}
	r.mirrorWaiters[shard] = waiting
}

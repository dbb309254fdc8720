package runner

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// HandlePromise answers a promise request of another instance, as a witness.
func (r *Runner) HandlePromise(ctx context.Context, request authority.PromiseRequest) (authority.PromiseReply, error) {
	return query(ctx, r, func(now time.Time) authority.PromiseReply {
		return r.node.HandlePromise(now, request)
	})
}

// SetShards replaces the list of shards from the settings.
func (r *Runner) SetShards(ctx context.Context, shards []authority.ShardSpec) error {
	return r.enqueue(ctx, func(now time.Time) { r.node.SetShards(now, shards) })
}

// SetRetired replaces the names of the instances that operators declare
// terminated.
func (r *Runner) SetRetired(ctx context.Context, names []string) error {
	return r.enqueue(ctx, func(now time.Time) { r.node.SetRetired(now, names) })
}

// Leave ends all campaigns and starts no new ones. Held shards stay held until
// Release.
func (r *Runner) Leave(ctx context.Context) error {
	return r.enqueue(ctx, r.node.Leave)
}

// ExpectHandOver prepares this process to take over a shard as soon as its
// holder releases it. It returns false if this process is not a witness of the
// shard or is leaving.
func (r *Runner) ExpectHandOver(ctx context.Context, shard key.ShardID) (bool, error) {
	return query(ctx, r, func(now time.Time) bool { return r.node.ExpectHandOver(now, shard) })
}

// Release ends the tenure of a shard that began at since and releases its promises, so
// that the next holder need not wait for them to expire. The caller has sent its last
// order and has revoked all grants. It returns ErrNotHeld if that tenure had ended.
func (r *Runner) Release(ctx context.Context, shard key.ShardID, since time.Time) error {
	held, err := query(ctx, r, func(now time.Time) bool { return r.node.Release(now, shard, since) })
	if err == nil && !held {
		return ErrNotHeld
	}
	return err
}

// nextHolder is the result of Node.NextHolder.
type nextHolder struct {
	member authority.Member
	ok     bool
}

// NextHolder returns the witness that should take over a held shard. ok is
// false if none is in service.
func (r *Runner) NextHolder(ctx context.Context, shard key.ShardID) (next authority.Member, ok bool, err error) {
	result, err := query(ctx, r, func(time.Time) nextHolder {
		member, ok := r.node.NextHolder(shard)
		return nextHolder{member, ok}
	})
	return result.member, result.ok, err
}

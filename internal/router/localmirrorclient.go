package router

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/record"
)

// localMirrorClient calls the mirror in this process directly and passes calls to other
// instances to remote.
type localMirrorClient struct {
	self   authority.Instance
	mirror *record.Mirror
	remote record.MirrorClient
}

// Copy implements record.MirrorClient.
func (c *localMirrorClient) Copy(ctx context.Context, to authority.Instance, r record.CopyRequest) (record.CopyReply, error) {
	if to == c.self {
		return c.mirror.Copy(r), nil
	}
	return c.remote.Copy(ctx, to, r)
}

// Fetch implements record.MirrorClient.
func (c *localMirrorClient) Fetch(ctx context.Context, to authority.Instance, f record.FetchRequest) ([]record.Record, time.Time, error) {
	if to == c.self {
		return c.mirror.Fetch(f)
	}
	return c.remote.Fetch(ctx, to, f)
}

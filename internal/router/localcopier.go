package router

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/record"
)

// localCopier carries record copies; those of this instance stay in the process.
type localCopier struct {
	self   authority.Instance
	mirror *record.Mirror
	next   record.MirrorClient
}

// Copy implements record.Copier.
func (c *localCopier) Copy(ctx context.Context, to authority.Instance, r record.CopyRequest) (record.CopyReply, error) {
	if to == c.self {
		return c.mirror.Copy(r), nil
	}
	return c.next.Copy(ctx, to, r)
}

// Fetch implements record.Copier.
func (c *localCopier) Fetch(ctx context.Context, to authority.Instance, f record.FetchRequest) ([]record.Record, time.Time, error) {
	if to == c.self {
		return c.mirror.Fetch(f)
	}
	return c.next.Fetch(ctx, to, f)
}

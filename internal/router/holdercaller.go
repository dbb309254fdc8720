package router

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/forward"
	"peridotmoor.org/peridotmoor/internal/peer"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/tracing"
)

// holderCaller sends a request to the holder of its shard: with a function call if this
// instance is the holder, otherwise over drpc.
type holderCaller struct {
	self   authority.Instance
	local  request.Handler
	peers  *peer.Client
	tracer *tracing.Tracer
}

// Forward implements forward.HolderClient.
func (c *holderCaller) Forward(ctx context.Context, holder *forward.Holder, r *request.Request) (*request.Response, error) {
	r.TraceParent = c.tracer.TraceParent(ctx)
	if holder.Instance == c.self {
		return c.local.Handle(ctx, r)
	}
	return c.peers.Forward(ctx, holder.Address, r)
}

package router

import (
	"context"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/peer"
)

// handOverHandler passes received hand-overs to their shards.
type handOverHandler struct {
	shards *shardSet
}

// HandleHandOver implements peer.HandOverHandler.
func (h *handOverHandler) HandleHandOver(ctx context.Context, o peer.HandOver) error {
	local := h.shards.findByID(o.Shard)
	if local == nil {
		return errors.Errorf("shard %s is not in the settings in effect at this instance", o.Shard)
	}
	return local.receiveHandOver(ctx, o)
}

package router

import (
	"context"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/peer"
)

// handOverHandler passes hand-overs to the shards.
type handOverHandler struct {
	shards *shardSet
}

// HandleHandOver implements peer.HandOverHandler.
func (h *handOverHandler) HandleHandOver(ctx context.Context, o peer.HandOver) error {
	unit := h.shards.findByID(o.Shard)
	if unit == nil {
		return errors.Errorf("shard %s is not in the settings in effect here", o.Shard)
	}
	return unit.receiveHandOver(ctx, o)
}

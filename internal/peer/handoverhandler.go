package peer

import (
	"context"
)

// HandOverHandler prepares to take a shard over. An error says why it does not.
type HandOverHandler interface {
	HandleHandOver(ctx context.Context, h HandOver) error
}

package peer

import (
	"context"
)

// HandOverHandler prepares the takeover of a shard. An error gives the reason for a
// refusal.
type HandOverHandler interface {
	HandleHandOver(ctx context.Context, h HandOver) error
}

package keeper

import (
	"context"
	"time"
)

// SetTiming takes over the promise and renewal durations of the settings.
func (k *Keeper) SetTiming(ctx context.Context, promiseTTL, renewInterval time.Duration) error {
	return k.enqueue(ctx, func(time.Time) { k.node.SetTiming(promiseTTL, renewInterval) })
}

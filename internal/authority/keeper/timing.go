package keeper

import (
	"context"
	"time"
)

// SetTiming applies the promise and renewal durations from the settings.
func (k *Keeper) SetTiming(ctx context.Context, promiseTTL, renewInterval time.Duration) error {
	return k.enqueue(ctx, func(time.Time) { k.node.SetTiming(promiseTTL, renewInterval) })
}

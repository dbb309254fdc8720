package runner

import (
	"context"
	"time"
)

// SetTiming applies the promise and renewal durations from the settings.
func (r *Runner) SetTiming(ctx context.Context, promiseTTL, renewInterval time.Duration) error {
	return r.enqueue(ctx, func(time.Time) { r.node.SetTiming(promiseTTL, renewInterval) })
}

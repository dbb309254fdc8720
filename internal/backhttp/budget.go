package backhttp

import (
	"context"

	"golang.org/x/sync/semaphore"
)

// budget bounds the memory that all large responses of the process take together, from
// reading them until they have been passed on. Small ones need none of it, so that servers
// that send without end keep nobody else's response waiting.
type budget struct {
	bytes *semaphore.Weighted
}

func newBudget(bytes int64) *budget {
	return &budget{bytes: semaphore.NewWeighted(bytes)}
}

// processBudget is the budget of all pools.
var processBudget = newBudget(budgetBytes)

// await takes n bytes once they are free. It fails when ctx ends before.
func (b *budget) await(ctx context.Context, n int64) error {
	return b.bytes.Acquire(ctx, n)
}

// take takes n bytes and reports whether they were free.
func (b *budget) take(n int64) bool {
	return b.bytes.TryAcquire(n)
}

// giveBack returns n bytes.
func (b *budget) giveBack(n int64) {
	if n > 0 {
		b.bytes.Release(n)
	}
}

package publish

import (
	"context"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// storeClient counts this instance's calls to the store and applies a timeout to each.
type storeClient struct {
	store store.Store
	calls atomic.Uint64
}

func (c *storeClient) get(ctx context.Context, key string) (store.Entry, error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.Get(ctx, key)
}

func (c *storeClient) compareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease store.LeaseID) (store.Entry, error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.CompareAndSwap(ctx, key, revision, value, lease)
}

func (c *storeClient) watch(ctx context.Context, key string, after uint64) (store.Entry, error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return c.store.Watch(ctx, key, after)
}

func (c *storeClient) grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.Grant(ctx, ttl)
}

func (c *storeClient) renew(ctx context.Context, id store.LeaseID) error {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.Renew(ctx, id)
}

// revoke ignores the cancellation of ctx, so that the lease is also revoked while the instance
// stops.
func (c *storeClient) revoke(ctx context.Context, id store.LeaseID) error {
	c.calls.Add(1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	return c.store.Revoke(ctx, id)
}

// Package store defines the interface to the platform's key-value store.
package store

import (
	"context"
	"time"
)

// Store is the platform's key-value store. The deadline of each call is that of its
// context. After ErrUncertain a write may or may not have taken effect: the caller
// must read the key back and look for its own write ID in the value.
type Store interface {
	// Get returns the entry of key with a linearizable read, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys have the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's current revision equals revision; 0
	// means that the key must not exist. It returns the new entry. If the revision
	// differs it returns the current entry and ErrConflict. If lease is not empty, the
	// key is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (Entry, error)
	// Watch waits until the revision of key is higher than after and returns the
	// entry. It returns ErrNotFound if the key is deleted in the meantime, and the
	// context's error if the context ends first.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew sets the expiry of the lease to its ttl from now. It returns ErrNotFound if
	// the lease has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its keys immediately.
	Revoke(ctx context.Context, id LeaseID) error
}

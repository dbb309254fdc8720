// Package store is the interface to the platform's key-value store.
package store

import (
	"context"
	"time"
)

// Store is the platform's key-value store. Every call takes a deadline from its
// context. An error of kind ErrUncertain means that the change may or may not
// have taken effect: the caller reads the key back and looks for its own write
// ID in the value.
type Store interface {
	// Get returns the entry of key with a linearizable read, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the entry's revision is still revision; 0
	// means that the key must not exist. It returns the new entry. When another
	// revision is found it returns that entry and ErrConflict. A non-empty lease
	// deletes the key when the lease ends.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (Entry, error)
	// Watch waits until the entry of key has a revision above after and returns
	// it. It returns ErrNotFound when the key is deleted meanwhile and the
	// context's error when the deadline passes first.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
	// Grant makes a lease that ends after ttl unless renewed.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends the lease by its ttl from now, or returns ErrNotFound when it has ended.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its keys at once.
	Revoke(ctx context.Context, id LeaseID) error
}

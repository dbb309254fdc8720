package shard

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrRevocationInterrupted means that the tenure or the runtime has ended while grants
// may be in force.
var ErrRevocationInterrupted = errors.New("the holder stopped before all grants were revoked; do not release the promises, they expire with the grants")

// revocation is a request to revoke all grants.
type revocation struct {
	done chan struct{}
	// cancelled is set when the waiter has given up.
	cancelled atomic.Bool
	// ended reports that done is closed. The waiter may read the field done at any
	// time, so it is not set to nil.
	ended bool
	// tenureSince and err are the result, valid once done is closed.
	tenureSince time.Time
	err         error
}

// RevokeGrants blocks all ranges, revokes the grants of all servers, and returns once
// every server provably owns nothing: it has acknowledged an empty grant or its grant
// has expired. Call it before promises are released early: the next holder assumes that
// no grant of an earlier holder is in force. It returns when the tenure began whose
// grants are revoked; only the promises of that tenure may be released. The ranges stay
// blocked until the tenure ends, or until ctx ends before all grants are revoked.
func (r *Runtime) RevokeGrants(ctx context.Context) (tenureSince time.Time, err error) {
	rev := &revocation{done: make(chan struct{})}
	select {
	case r.revocations <- rev:
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
	select {
	case <-rev.done:
		return rev.tenureSince, rev.err
	case <-ctx.Done():
		rev.cancelled.Store(true)
		return time.Time{}, ctx.Err()
	}
}

// beginRevocation makes all grants empty from the next call on.
func (c *coordinator) beginRevocation(rev *revocation) {
	rev.tenureSince = c.tenure.Since
	c.revocations = append(c.revocations, rev)
	c.grantRangesDirty = true
	c.viewDirty = true
}

// checkRevocation notifies the waiters once no server owns anything, and wakes the
// coordinator when the last grant expires.
func (c *coordinator) checkRevocation(now time.Time) {
	c.dropCancelledRevocations()
	if len(c.revocations) == 0 {
		return
	}
	if emptyBy := c.grantsEmptyBy(); emptyBy.After(now) {
		c.wakeTime.add(emptyBy)
		return
	}
	c.endRevocation(nil)
}

// dropCancelledRevocations grants the ranges again when no revocation is left.
func (c *coordinator) dropCancelledRevocations() {
	before := len(c.revocations)
	c.revocations = slices.DeleteFunc(c.revocations, func(rev *revocation) bool { return !rev.ended && rev.cancelled.Load() })
	if before > 0 && len(c.revocations) == 0 {
		c.grantRangesDirty = true
		c.viewDirty = true
		c.wakeUp()
	}
}

// grantsEmptyBy returns the time from which no server can own anything.
func (c *coordinator) grantsEmptyBy() time.Time {
	emptyBy := time.Time{}
	for _, s := range c.servers {
		emptyBy = latest(emptyBy, s.grants.AllFreeBy())
	}
	for _, tracker := range c.retiredGrants {
		emptyBy = latest(emptyBy, tracker.AllFreeBy())
	}
	return emptyBy
}

// endRevocation notifies the waiters; the grants stay empty.
func (c *coordinator) endRevocation(err error) {
	for _, rev := range c.revocations {
		if !rev.ended {
			rev.err = err
			close(rev.done)
			rev.ended = true
		}
	}
}

// endInterruptedRevocation notifies the waiters that the coordinator has ended.
func (c *coordinator) endInterruptedRevocation(now time.Time) {
	if c.grantsEmptyBy().After(now) {
		c.endRevocation(ErrRevocationInterrupted)
		return
	}
	c.endRevocation(nil)
}

// blocksAllRanges reports whether the requests of all ranges wait.
func (c *coordinator) blocksAllRanges() bool {
	return c.quiesce != nil || len(c.revocations) > 0
}

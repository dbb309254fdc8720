package shard

import (
	"context"
	"time"
)

// revocation is a request to revoke all grants.
type revocation struct {
	done chan struct{}
	// ended reports that done is closed. The waiter may read the field done at any
	// time, so it is not set to nil.
	ended bool
}

// RevokeGrants blocks all ranges, revokes the grants of all servers, and returns once
// every server provably owns nothing: it has acknowledged an empty grant or its grant
// has expired. Call it before promises are released early: the next holder assumes that
// no grant of an earlier holder is in force. The ranges stay blocked until the tenure
// ends.
func (r *Runtime) RevokeGrants(ctx context.Context) error {
	rev := &revocation{done: make(chan struct{})}
	select {
	case r.revocations <- rev:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-rev.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginRevocation makes all grants empty from the next call on.
func (c *coordinator) beginRevocation(rev *revocation) {
	c.revocations = append(c.revocations, rev)
	if c.quiesce == nil {
		c.quiesce = &quiesce{}
	}
	c.grantRangesDirty = true
	c.viewDirty = true
}

// checkRevocation notifies the waiters once no server owns anything, and wakes the
// coordinator when the last grant expires.
func (c *coordinator) checkRevocation(now time.Time) {
	if len(c.revocations) == 0 {
		return
	}
	emptyBy := time.Time{}
	for _, s := range c.servers {
		emptyBy = latest(emptyBy, s.grants.AllFreeBy())
	}
	for _, tracker := range c.retiredGrants {
		emptyBy = latest(emptyBy, tracker.AllFreeBy())
	}
	if emptyBy.After(now) {
		c.wakeTime.add(emptyBy)
		return
	}
	c.endRevocation()
}

// endRevocation notifies the waiters; the grants stay empty.
func (c *coordinator) endRevocation() {
	for _, rev := range c.revocations {
		if !rev.ended {
			close(rev.done)
			rev.ended = true
		}
	}
}

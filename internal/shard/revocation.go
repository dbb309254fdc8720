package shard

import (
	"context"
	"time"
)

// surrender is a request to take all grants back.
type revocation struct {
	done chan struct{}
	// ended reports that done is closed. The waiter reads done at any time, so the
	// field itself never changes.
	ended bool
}

// RevokeGrants holds all ranges, takes the grants of all servers back and returns
// once every server provably owns nothing: it has acknowledged an empty list or
// its grant has expired. Call it before promises are returned early: the next
// holder takes for granted that no grant of an earlier one is in force. The shard
// stays held until the tenure ends.
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

// beginSurrender empties all lists from the next call on.
func (c *coordinator) beginRevocation(rev *revocation) {
	c.revocations = append(c.revocations, rev)
	if c.quiesce == nil {
		c.quiesce = &quiesce{}
	}
	c.grantRangesDirty = true
	c.viewDirty = true
}

// checkSurrender reports to the waiters once no server owns anything, and wakes
// the term when the next grant expires.
func (c *coordinator) checkRevocation(now time.Time) {
	if len(c.revocations) == 0 {
		return
	}
	emptyBy := time.Time{}
	for _, s := range c.servers {
		emptyBy = latest(emptyBy, s.grants.EmptyBy())
	}
	for _, tracker := range c.retiredGrants {
		emptyBy = latest(emptyBy, tracker.EmptyBy())
	}
	if emptyBy.After(now) {
		c.wakeTime.add(emptyBy)
		return
	}
	c.endRevocation()
}

// endSurrender releases the waiters; the lists stay empty.
func (c *coordinator) endRevocation() {
	for _, rev := range c.revocations {
		if !rev.ended {
			close(rev.done)
			rev.ended = true
		}
	}
}

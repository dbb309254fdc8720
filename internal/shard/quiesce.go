package shard

import "context"

// quiesce is a request to block all ranges and wait until no request is in flight.
type quiesce struct {
	done chan struct{}
}

// Quiesce blocks all ranges of the shard, removes all servers from the list of targets,
// and waits until no request is in flight in any range. The ranges stay blocked until
// the tenure ends. Call it once, before the tenure is handed over. Without a tenure it
// waits for one, or for ctx. Requests of services that are not partitioned by key are
// not counted here; the admission limiters count them.
func (r *Runtime) Quiesce(ctx context.Context) error {
	q := &quiesce{done: make(chan struct{})}
	select {
	case r.quiesceRequests <- q:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginQuiesce blocks all ranges from the next view on.
func (c *coordinator) beginQuiesce(q *quiesce) {
	if c.quiesce != nil {
		close(q.done)
		return
	}
	c.quiesce = q
	c.viewDirty = true
	for _, r := range c.ranges {
		if r.stopWatch == nil {
			c.watchInFlight(r)
		}
	}
}

// checkQuiesce notifies the waiter once no request is in flight. Call it only after the
// view that blocks all ranges has been published.
func (c *coordinator) checkQuiesce() {
	if c.quiesce == nil || c.quiesce.done == nil {
		return
	}
	for _, r := range c.ranges {
		if r.inFlight() > 0 {
			return
		}
	}
	c.endQuiesce()
}

// endQuiesce notifies the waiter; the ranges stay blocked.
func (c *coordinator) endQuiesce() {
	if c.quiesce == nil || c.quiesce.done == nil {
		return
	}
	close(c.quiesce.done)
	c.quiesce = &quiesce{}
}

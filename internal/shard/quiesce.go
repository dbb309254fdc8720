package shard

import "context"

// quiesce is a request to hold all ranges until no request is in flight.
type quiesce struct {
	done chan struct{}
}

// Quiesce holds all ranges of the shard, takes all servers off the list of
// targets, and waits until no request is in flight in a range. The shard stays
// held until the tenure ends. Call it once, before the tenure is handed over.
// Without a tenure it waits for one or for ctx. Requests of services that are not
// partitioned by key are not counted; ask the gates.
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

// beginQuiesce holds all ranges from the next view on.
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

// checkQuiesce reports to the waiter once no request is in flight. It runs after
// the view that holds all ranges was published.
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

// endQuiesce releases the waiter; the ranges stay held.
func (c *coordinator) endQuiesce() {
	if c.quiesce == nil || c.quiesce.done == nil {
		return
	}
	close(c.quiesce.done)
	c.quiesce = &quiesce{}
}

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
	case r.quiesces <- q:
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
func (t *term) beginQuiesce(q *quiesce) {
	if t.quiesce != nil {
		close(q.done)
		return
	}
	t.quiesce = q
	t.viewDirty = true
	for _, r := range t.rows {
		if r.unwatch == nil {
			t.watch(r)
		}
	}
}

// checkQuiesce reports to the waiter once no request is in flight. It runs after
// the view that holds all ranges was published.
func (t *term) checkQuiesce() {
	if t.quiesce == nil || t.quiesce.done == nil {
		return
	}
	for _, r := range t.rows {
		if r.inFlight() > 0 {
			return
		}
	}
	t.endQuiesce()
}

// endQuiesce releases the waiter; the ranges stay held.
func (t *term) endQuiesce() {
	if t.quiesce == nil || t.quiesce.done == nil {
		return
	}
	close(t.quiesce.done)
	t.quiesce = &quiesce{}
}

package shard

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/events"
)

// loadTimeout bounds the first attempt to read the assignment: a takeover that
// stays under a second has about 200 ms left for it. Each further attempt gets
// twice as long, so that a slow store is read in the end.
const loadTimeout = 200 * time.Millisecond

// storeBackoff returns how long to wait after n failed calls to the store.
func storeBackoff(n int) time.Duration {
	return min(50*time.Millisecond<<min(n, 7), 5*time.Second)
}

// load starts to read the assignment when that is due.
func (t *term) load(now time.Time) {
	if t.loaded || t.loading || !t.config.Keyed {
		return
	}
	if now.Before(t.loadAt) {
		t.alarm.at(t.loadAt)
		return
	}
	t.loading = true
	ctx, timeout := t.ctx, loadTimeout<<min(t.loadRetries, 5)
	commits, results := t.options.AssignmentStore, t.loads
	t.runtime.senders.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		assignment, err := commits.Load(ctx)
		results <- loadResult{assignment: assignment, err: err}
	})
}

// loadEnded takes over the assignment that was read, or puts the next attempt off.
func (t *term) loadEnded(result loadResult, now time.Time) {
	t.loading = false
	if result.err != nil {
		t.loadAt = now.Add(storeBackoff(t.loadRetries))
		t.loadRetries++
		t.options.Log.Emit(events.ShardLoadFailed, "shard", t.options.Shard.String(), "error", result.err.Error())
		return
	}
	t.loaded = true
	t.planAt = now
	t.viewDirty = true
	if len(result.assignment.Ranges) == 0 {
		return
	}
	if err := result.assignment.Validate(t.options.Interval); err != nil {
		t.options.Log.Emit(events.ShardRecordInvalid, "shard", t.options.Shard.String(), "error", err.Error())
		return
	}
	t.committed = result.assignment
	t.rows = rowsOf(result.assignment)
	t.listsDirty = true
}

// rowsOf returns one row per range, each waiting for its owner's grant.
func rowsOf(a assign.Assignment) []*row {
	rows := make([]*row, len(a.Ranges))
	for i, r := range a.Ranges {
		next := newRow(r.Bounds)
		next.owner, next.want = r.Owner, r.Owner
		next.setCommitted(r)
		rows[i] = next
	}
	return rows
}

package shard

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/events"
)

// loadTimeout limits the first attempt to read the assignment: about 200 ms are left
// for it in a takeover that takes less than a second. The limit doubles with each
// further attempt, so that a slow store is read eventually.
const loadTimeout = 200 * time.Millisecond

// storeBackoff returns how long to wait after n failed calls to the store.
func storeBackoff(n int) time.Duration {
	return min(50*time.Millisecond<<min(n, 7), 5*time.Second)
}

// startLoad starts to read the assignment when that is due.
func (c *coordinator) startLoad(now time.Time) {
	if c.loaded || c.loadInProgress || !c.config.Keyed {
		return
	}
	if now.Before(c.nextLoadAt) {
		c.wakeTime.add(c.nextLoadAt)
		return
	}
	c.loadInProgress = true
	ctx, timeout := c.ctx, loadTimeout<<min(c.loadRetries, 5)
	assignments, results := c.options.AssignmentStore, c.loadResults
	c.runtime.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		assignment, err := assignments.Load(ctx)
		results <- loadResult{assignment: assignment, err: err}
	})
}

// handleLoadResult takes over the assignment that was read, or schedules the next
// attempt.
func (c *coordinator) handleLoadResult(result loadResult, now time.Time) {
	c.loadInProgress = false
	if result.err != nil {
		c.nextLoadAt = now.Add(storeBackoff(c.loadRetries))
		c.loadRetries++
		c.options.Log.Emit(events.ShardLoadFailed, "shard", c.options.Shard.String(), "error", result.err.Error())
		return
	}
	c.loaded = true
	c.nextPlanAt = now
	c.viewDirty = true
	if len(result.assignment.Ranges) == 0 {
		return
	}
	if err := result.assignment.Validate(c.options.Interval); err != nil {
		c.options.Log.Emit(events.ShardRecordInvalid, "shard", c.options.Shard.String(), "error", err.Error())
		return
	}
	c.committed = result.assignment
	c.ranges = managedRangesOf(result.assignment)
	c.grantRangesDirty = true
}

// managedRangesOf returns one managed range per assigned range, each waiting for the
// grant to its owner.
func managedRangesOf(a assign.Assignment) []*managedRange {
	ranges := make([]*managedRange, len(a.Ranges))
	for i, r := range a.Ranges {
		next := newManagedRange(r.Bounds)
		next.owner, next.desiredOwner = r.Owner, r.Owner
		next.setCommitted(r)
		ranges[i] = next
	}
	return ranges
}

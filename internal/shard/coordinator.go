package shard

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/grant"
	"peridotmoor.org/peridotmoor/internal/hotkey"
	"peridotmoor.org/peridotmoor/internal/route"
)

// coordinator does the work of the holder of a shard during one tenure. Its fields are
// used only by the goroutine of Runtime.Run.
type coordinator struct {
	runtime *Runtime
	options *Options
	ctx     context.Context
	cancel  context.CancelFunc

	tenure  *authority.Tenure
	config  *Config
	servers map[string]*managedServer
	// retiredGrants tracks the grants of servers that are no longer in use but may
	// still own ranges.
	retiredGrants []*grant.Tracker
	ranges        []*managedRange
	// unkeyedState counts the requests of a service that is not partitioned by key.
	unkeyedState *route.RangeState

	callResults   chan callResult
	loadResults   chan loadResult
	commitResults chan commitResult
	wakeup        chan struct{}
	wakeTime      wakeTime

	loadInProgress   bool
	loaded           bool
	loadRetries      int
	nextLoadAt       time.Time
	planner          *assign.Planner
	slowDetector     assign.SlowDetector
	sketch           *hotkey.Sketch
	committed        assign.Assignment
	commitInProgress bool
	commitErrors     int
	nextCommitAt     time.Time
	nextPlanAt       time.Time
	measuredAt       time.Time
	totalRate        float64
	counters         counters

	// grantRangesDirty is set when the ranges to grant to the servers must be computed
	// again, viewDirty when requests would see a different view.
	grantRangesDirty bool
	viewDirty        bool
	// viewReplaced is closed when the published view is replaced by a newer one.
	viewReplaced chan struct{}
	quiesce      *quiesce
	// revocations is not empty once all grants are to be revoked.
	revocations []*revocation
}

// newCoordinator returns the coordinator for the given tenure.
func newCoordinator(ctx context.Context, r *Runtime, tenure *authority.Tenure, now time.Time) *coordinator {
	ctx, cancel := context.WithCancel(ctx)
	c := &coordinator{
		runtime:       r,
		options:       &r.options,
		ctx:           ctx,
		cancel:        cancel,
		tenure:        tenure,
		servers:       map[string]*managedServer{},
		retiredGrants: r.retiredGrants,
		callResults:   make(chan callResult, 64),
		loadResults:   make(chan loadResult, 1),
		commitResults: make(chan commitResult, 1),
		wakeup:        make(chan struct{}, 1),
		planner:       assign.NewPlanner(),
		sketch:        hotkey.NewSketch(sketchCounters),
		measuredAt:    now,
		nextPlanAt:    now,
		viewDirty:     true,
		unkeyedState:  route.NewRangeState(),
	}
	c.updateConfig(now)
	return c
}

// run is the event loop of the coordinator. It returns when the tenure or the context
// ends.
func (c *coordinator) run() {
	c.options.Log.Emit(events.GrantsBegun, "shard", c.options.Shard.String(), "token", c.tenure.Token.String())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for c.step(time.Now()) {
		timer.Reset(c.wakeTime.untilNext(time.Now()))
		select {
		case <-c.ctx.Done():
		case <-c.options.Tenures.Changed():
		case <-c.options.Config.changed:
		case result := <-c.callResults:
			c.handleCallResult(result, time.Now())
			c.handlePendingCallResults()
		case result := <-c.loadResults:
			c.handleLoadResult(result, time.Now())
		case result := <-c.commitResults:
			c.handleCommitResult(result, time.Now())
		case q := <-c.runtime.quiesceRequests:
			c.beginQuiesce(q)
		case rev := <-c.runtime.revocations:
			c.beginRevocation(rev)
		case <-c.wakeup:
		case <-timer.C:
		}
	}
	c.end(time.Now())
}

// handlePendingCallResults handles the results that have already arrived, so that many
// results cost only one step.
func (c *coordinator) handlePendingCallResults() {
	for {
		select {
		case result := <-c.callResults:
			c.handleCallResult(result, time.Now())
		default:
			return
		}
	}
}

// step does everything that is due at now. It returns false when the tenure has ended.
func (c *coordinator) step(now time.Time) bool {
	c.wakeTime.reset()
	if c.ctx.Err() != nil || !c.updateTenure(now) {
		return false
	}
	c.wakeTime.add(c.tenure.End)
	c.updateConfig(now)
	c.updateOrdersAllowed(now)
	c.startLoad(now)
	c.measureLoad(now)
	c.planIfDue(now)
	c.advanceAndPublish(now)
	c.sendDueCalls(now)
	c.checkRevocation(now)
	c.dropRemovedServers(now)
	return true
}

// advanceAndPublish advances the ranges until nothing changes, and publishes the view
// after each round: a move waits for its requests in flight only once new requests see
// that the range is blocked.
func (c *coordinator) advanceAndPublish(now time.Time) {
	c.publishView()
	for c.advanceRanges(now) {
		c.publishView()
	}
	c.checkQuiesce()
}

// updateTenure takes over a renewed tenure. It returns false when the tenure has ended
// or a different one has begun.
func (c *coordinator) updateTenure(now time.Time) bool {
	next := c.options.Tenures.Tenure()
	if !next.ValidAt(now, 0) || !next.Since.Equal(c.tenure.Since) {
		return false
	}
	if next != c.tenure {
		c.tenure = next
		c.viewDirty = true
	}
	return true
}

// end publishes that this instance does not hold the shard, and keeps track of grants
// that may outlast the tenure.
func (c *coordinator) end(now time.Time) {
	c.cancel()
	c.runtime.views.Store(nil)
	c.runtime.status.Store(nil)
	if c.viewReplaced != nil {
		close(c.viewReplaced)
	}
	for _, r := range c.ranges {
		r.stopWatching()
	}
	c.endQuiesce()
	c.endInterruptedRevocation(now)
	for _, s := range c.servers {
		c.retiredGrants = append(c.retiredGrants, &s.grants)
	}
	c.runtime.retiredGrants = c.retiredGrants
	c.pruneRetiredGrants(now)
	c.runtime.retiredGrants = c.retiredGrants
	c.options.Log.Emit(events.GrantsEnded, "shard", c.options.Shard.String(), "token", c.tenure.Token.String())
}

package holder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/boottime"
	"peridotmoor.org/peridotmoor/internal/crashes"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

// Coordinator decides for the fleet during one tenure of the holder. Its event loop
// is the only goroutine that uses the owner table, the scheduler and the set of
// followers. Everything else reaches them through an event in its queue.
type Coordinator struct {
	registry    *facts.Registry
	reader      *facts.Reader
	orderSender OrderSender
	// onOrderWritten is that of Options, or nil.
	onOrderWritten func(time.Duration)
	// onEventDelay is that of Options, or nil.
	onEventDelay func(time.Duration)
	// load is the state of the event loop at its last tick, for metrics.
	load      atomic.Pointer[Load]
	prober    fleet.Prober
	log       *events.Logger
	records   *recordStore
	table     *owners.Table
	scheduler *placing.Scheduler
	queue     chan func()
	ctx       context.Context
	// endTenure ends ctx.
	endTenure   context.CancelFunc
	plannedStop plannedStop
	// superseded is set once there is evidence of another holder.
	superseded atomic.Bool
	// yielding is set when the tenure ends in favour of a stronger machine.
	yielding atomic.Bool
	// leaseConfirmedAt is when the lease was last known to be held by this process, by
	// its own clock. It is nil when that must be confirmed again.
	leaseConfirmedAt atomic.Pointer[time.Time]
	// lease is the lease of the holder's key.
	lease atomic.Pointer[heldLease]
	// era is the era of the store in which the lease is valid.
	era atomic.Uint64
	// lastConfirmedAt is the same, but is kept when the lease must be confirmed again. It is
	// used only for logs and metrics.
	lastConfirmedAt atomic.Pointer[time.Time]
	// sendsOrders is what maySendOrders returned last, for logs and metrics.
	sendsOrders atomic.Bool
	// endReason is why the tenure ends, an endReason, or 0.
	endReason atomic.Uint32

	// recordedServers holds the servers of the record found at the start of the tenure.
	recordedServers map[fleet.Incarnation]*fleet.Server
	// foundFleet is the fleet in the record that was found, or empty if the record does not
	// tell when holders before it have ended.
	foundFleet quorum.Fleet
	// lastHolderEnded is set if the process of the last holder has provably ended, and no
	// holder before it could act.
	lastHolderEnded bool
	// predecessorsEndBy is when the holders before this one have ended at the latest. Their
	// grants may end sooner: one that most of the fleet has left grants nothing, but goes on.
	predecessorsEndBy time.Time
	// suspension notices suspensions since the election began, as the lease counts from then.
	suspension suspension
	// mayActAt is when maySendOrders last looked for a suspension, on the clock that counts
	// them.
	mayActAt boottime.Instant
	// orderCalls are the orders that are being sent.
	orderCalls sync.WaitGroup
	// orderContext is the parent of the contexts of orders, until abortOrders cancels it. It
	// is nil before the first order, and after that.
	orderContext context.Context
	cancelOrders context.CancelFunc
	// ordersAllowed is what maySendOrders decided last by the lease or the followers, so
	// that each change is logged once.
	ordersAllowed bool
	// inheritedGrantsShortened is set once the wait for grants of earlier holders has been
	// shortened.
	inheritedGrantsShortened bool
	// instance is the name and incarnation of this instance.
	instance string
	// startedAt is the time that proofs of followers are counted from.
	startedAt time.Time

	// processorShare is the share of a processor available on this machine.
	processorShare float64
	// yieldPlanned is set when the tenure is to end in favour of a stronger machine, once
	// the record says so. It is used only by the event loop.
	yieldPlanned bool
	// yieldAllowedAt is when the tenure may first end in favour of a stronger machine.
	yieldAllowedAt time.Time

	// The fields below are used only by the event loop.
	followers map[*link.Follower]bool
	teamCaps  teamCaps
	// stays holds since when instances have followed this holder only.
	stays stays
	// quorum holds the fleet that a successor would find in the record.
	quorum quorum.Tracker
	// fleetChangedAt is when the followers began to differ from the fleet in the record, or
	// the zero time.
	fleetChangedAt time.Time
	joins          joins
	byName         map[string]*link.Follower
	followerLog    followerLog
	shortageLog    shortageLog
	// shortages holds the counts of each service for the metrics.
	shortages        atomic.Pointer[map[string]placing.Shortage]
	quorumLog        quorumLog
	epoch            int64
	snapshot         *facts.Snapshot
	publishedVersion uint64
	// publishedAt is when the owners were last published.
	publishedAt time.Time
	storing     bool
	// storedEra is the era whose record was written last, and storingEra that of the write
	// under way.
	storedEra, storingEra uint64
	// lossAnnouncer finds the losses that followers are told of.
	lossAnnouncer crashes.Announcer
	// resultsPending is set when results of orders have arrived since the last tick.
	resultsPending bool
	followedUpAt   time.Time
	// delayLoggedAt is when delayed events were last logged.
	delayLoggedAt time.Time
	storedAt      time.Time
	// recordedTimes holds the service times in the record.
	recordedTimes fleet.RelativeTimes
	// timesCheckedAt is when timesRecordDue last compared them with those of the scheduler.
	timesCheckedAt time.Time
	plannedAt      time.Time
	heartbeatAt    time.Time
	tickedAt       time.Time
	probedAt       time.Time
	// probing holds the servers with a probe in flight.
	probing map[fleet.Incarnation]bool
	// probesLeft is the number of servers left in the current round of probes.
	probesLeft int
}

// enqueue passes an event to the event loop. It returns false when the tenure has ended.
func (c *Coordinator) enqueue(event func()) bool {
	select {
	case c.queue <- event:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// run is the event loop. It returns when the tenure ends.
func (c *Coordinator) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.tick()
	for {
		select {
		case <-c.ctx.Done():
			return
		case event := <-c.queue:
			event()
			c.drainQueue()
			c.followUp()
		case <-c.registry.Changed():
			c.refresh(time.Now())
		case <-ticker.C:
			c.tick()
		}
		c.flushDecisions()
	}
}

// drainQueue handles the events already queued, so that their decisions are sent together.
func (c *Coordinator) drainQueue() {
	for range eventQueueSize {
		select {
		case event := <-c.queue:
			event()
		default:
			return
		}
	}
}

// tick runs the periodic work that is due.
func (c *Coordinator) tick() {
	now := time.Now()
	c.refresh(now)
	if !c.tickedAt.IsZero() && now.Sub(c.tickedAt) > maxTickGap {
		c.leaseConfirmedAt.Store(nil)
	}
	c.tickedAt = now
	if now.Sub(c.plannedAt) >= planInterval {
		c.plannedAt = now
		c.plan(now)
	}
	c.storeRecord(now)
	if c.maySendOrders(now) {
		c.sendOrders(now)
	}
	c.logGrants()
	if c.followerLog.due(now) {
		c.logFollowers(now)
	}
	c.scheduler.SetShare(c.share(now))
	c.shareTeamCaps(now)
	c.scheduler.SetExclusive(c.exclusive(now))
	c.scheduler.Tick(now)
	c.logShortages(now)
	c.publish(now)
	c.joins.sendParts(now)
	c.joins.forgetReplies(now)
	c.probeServers(now)
	c.forgetStays(now)
	c.considerYield(now)
	c.considerHandOver()
	c.measureLoad(now)
}

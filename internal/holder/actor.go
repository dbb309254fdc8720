package holder

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Coordinator is one tenure of the holder. One goroutine owns the table, the placer
// and the followers; everything else reaches it as an event.
type Coordinator struct {
	board   *facts.Board
	orderSender OrderSender
	prober  fleet.Prober
	log     *events.Logger
	records  *recordStore
	table   *owners.Table
	placer  *placing.Placer
	queue  chan func()
	ctx     context.Context
	// deposed is set when another holder has shown itself.
	deposed atomic.Bool
	// yielding is set when the tenure ends in favour of a stronger machine.
	yielding atomic.Bool
	// leaseConfirmedAt is when the lease was last known to be ours, on this process's clock.
	leaseConfirmedAt atomic.Pointer[time.Time]

	// recordedServers holds the servers of the record that was found.
	recordedServers map[fleet.Life]*fleet.Server
	// expectedFollowers is how many instances followed the last holder, or 0 once the
	// grants of earlier holders have a near end.
	expectedFollowers int
	// previousFleetSize is how many instances followed the last holder.
	previousFleetSize int

	// processorShare is the share of a processorShare that this machine gives.
	processorShare float64
	// yieldAllowedAt is when the tenure may end in favour of a stronger machine.
	yieldAllowedAt time.Time

	// What follows belongs to the goroutine.
	followers map[*link.Follower]bool
	// usualFollowers is the number of followers while the store last answered.
	usualFollowers     int
	byName    map[string]*link.Follower
	epoch     int64
	snapshot      *facts.View
	publishedVersion uint64
	// sentSnapshot is the view that followers got last.
	sentSnapshot *facts.View
	// publishedAt is when the owners were last published.
	publishedAt time.Time
	storing     bool
	refusalTracker    owners.Refusals
	// resultsPending is set when replies have come since the last tick.
	resultsPending      bool
	storedAt  time.Time
	plannedAt time.Time
	heartbeatAt    time.Time
	tickedAt  time.Time
	probedAt  time.Time
	// probing holds the servers that have been asked and have not answered.
	probing map[fleet.Life]bool
}

func newCoordinator(ctx context.Context, e *Elector, record *recordStore, found owners.Record, until time.Time) *Coordinator {
	a := &Coordinator{
		board:     e.board,
		orderSender:   e.orderSender,
		prober:    e.prober,
		probing:   map[fleet.Life]bool{},
		log:       e.log,
		records:    record,
		table:     owners.NewTable(found, record.tenureName, until),
		queue:    make(chan func(), eventQueueSize),
		ctx:       ctx,
		followers: map[*link.Follower]bool{},
		byName:    map[string]*link.Follower{},
		epoch:     found.Epoch,
		recordedServers:  map[fleet.Life]*fleet.Server{},
		expectedFollowers:  max(e.client.FleetSize(), found.Instances),
		processorShare: e.processorShare,
	}
	a.previousFleetSize = a.expectedFollowers
	a.yieldAllowedAt = time.Now().Add(yieldDelay)
	if found.Yielded {
		a.yieldAllowedAt = time.Now().Add(yieldCooldown)
	}
	for life, service := range found.Lives() {
		if address := found.Addresses[life.String()]; address != "" {
			a.recordedServers[life] = &fleet.Server{Life: life, Service: service, Address: address}
		}
	}
	budget := e.budget
	budget.Spent = found.Epoch > 1
	a.placer = placing.New(budget, a.table, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return a
}

// enqueue hands an event to the goroutine. It returns false when the tenure has ended.
func (c *Coordinator) enqueue(event func()) bool {
	select {
	case c.queue <- event:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// run decides until the tenure ends.
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
		case <-c.board.Changed():
			c.refresh(time.Now())
		case <-ticker.C:
			c.tick()
		}
		c.flushDecisions()
	}
}

// drainQueue handles what has queued up, so that verdicts leave together.
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

// tick does what is due by time.
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
	c.placer.SetAlone(c.exclusive(now))
	c.placer.Tick(now)
	c.publish(now)
	c.probeServers(now)
	c.considerYield(now)
}

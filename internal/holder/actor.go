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

// Actor is one tenure of the holder. One goroutine owns the table, the placer
// and the followers; everything else reaches it as an event.
type Actor struct {
	board   *facts.Board
	granter Granter
	prober  fleet.Prober
	log     *events.Logger
	record  *stored
	table   *owners.Table
	placer  *placing.Scheduler
	events  chan func()
	ctx     context.Context
	// deposed is set when another holder has shown itself.
	deposed atomic.Bool
	// yields is set when the tenure ends in favour of a stronger machine.
	yields atomic.Bool
	// contact is when the lease was last known to be ours, on this process's clock.
	contact atomic.Pointer[time.Time]

	// recorded holds the servers of the record that was found.
	recorded map[fleet.Life]*fleet.Server
	// expected is how many instances followed the last holder, or 0 once the
	// grants of earlier holders have a near end.
	expected int
	// inherited is how many instances followed the last holder.
	inherited int

	// processor is the share of a processor that this machine gives.
	processor float64
	// yieldsFrom is when the tenure may end in favour of a stronger machine.
	yieldsFrom time.Time

	// What follows belongs to the goroutine.
	followers map[*link.Follower]bool
	// usual is the number of followers while the store last answered.
	usual     int
	byName    map[string]*link.Follower
	epoch     int64
	seen      *facts.View
	published uint64
	// told is the view that followers got last.
	told *facts.View
	// publishedAt is when the owners were last published.
	publishedAt time.Time
	storing     bool
	refusals    owners.Refusals
	// soon is set when replies have come since the last tick.
	soon      bool
	storedAt  time.Time
	plannedAt time.Time
	beatAt    time.Time
	tickedAt  time.Time
	probedAt  time.Time
	// probing holds the servers that have been asked and have not answered.
	probing map[fleet.Life]bool
}

func newActor(ctx context.Context, c *Campaign, record *stored, found owners.Record, until time.Time) *Actor {
	a := &Actor{
		board:     c.board,
		granter:   c.granter,
		prober:    c.prober,
		probing:   map[fleet.Life]bool{},
		log:       c.log,
		record:    record,
		table:     owners.NewTable(found, record.holder, until),
		events:    make(chan func(), eventQueue),
		ctx:       ctx,
		followers: map[*link.Follower]bool{},
		byName:    map[string]*link.Follower{},
		epoch:     found.Epoch,
		recorded:  map[fleet.Life]*fleet.Server{},
		expected:  max(c.desk.Instances(), found.Instances),
		processor: c.processor,
	}
	a.inherited = a.expected
	a.yieldsFrom = time.Now().Add(yieldAfter)
	if found.Yielded {
		a.yieldsFrom = time.Now().Add(yieldRest)
	}
	for life, service := range found.Lives() {
		if address := found.Addresses[life.String()]; address != "" {
			a.recorded[life] = &fleet.Server{Life: life, Service: service, Address: address}
		}
	}
	budget := c.budget
	budget.AssumeSpent = found.Epoch > 1
	a.placer = placing.New(budget, a.table, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return a
}

// post hands an event to the goroutine. It returns false when the tenure has ended.
func (a *Actor) post(event func()) bool {
	select {
	case a.events <- event:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// run decides until the tenure ends.
func (a *Actor) run() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	a.tick()
	for {
		select {
		case <-a.ctx.Done():
			return
		case event := <-a.events:
			event()
			a.drain()
			a.goOn()
		case <-a.board.Changed():
			a.refresh(time.Now())
		case <-ticker.C:
			a.tick()
		}
		a.flush()
	}
}

// drain handles what has queued up, so that verdicts leave together.
func (a *Actor) drain() {
	for range eventQueue {
		select {
		case event := <-a.events:
			event()
		default:
			return
		}
	}
}

// tick does what is due by time.
func (a *Actor) tick() {
	now := time.Now()
	a.refresh(now)
	if !a.tickedAt.IsZero() && now.Sub(a.tickedAt) > frozenAfter {
		a.contact.Store(nil)
	}
	a.tickedAt = now
	if now.Sub(a.plannedAt) >= planEvery {
		a.plannedAt = now
		a.plan(now)
	}
	a.store(now)
	if a.mayOrder(now) {
		a.order(now)
	}
	a.placer.SetExclusive(a.sole(now))
	a.placer.Tick(now)
	a.publish(now)
	a.probe(now)
	a.yield(now)
}

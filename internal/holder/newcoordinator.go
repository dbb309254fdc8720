package holder

import (
	"context"
	"math/rand/v2"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

// newCoordinator starts from the record found. Grants of earlier holders are valid
// until the given time at the latest.
func newCoordinator(ctx context.Context, endTenure context.CancelFunc, e *Elector, records *recordStore, found owners.Record, until time.Time) *Coordinator {
	c := &Coordinator{
		registry:          e.registry,
		reader:            e.reader,
		orderSender:       e.orderSender,
		onOrderWritten:    e.onOrderWritten,
		onEventDelay:      e.onEventDelay,
		prober:            e.prober,
		probing:           map[fleet.Incarnation]bool{},
		log:               e.log,
		records:           records,
		table:             owners.NewTable(found, records.tenureName, until),
		queue:             make(chan func(), eventQueueSize),
		ctx:               ctx,
		endTenure:         endTenure,
		plannedStop:       e.plannedStop,
		followers:         map[*link.Follower]bool{},
		byName:            map[string]*link.Follower{},
		epoch:             found.Epoch,
		recordedServers:   map[fleet.Incarnation]*fleet.Server{},
		foundFleet:        found.Fleet,
		predecessorsEndBy: until,
		instance:          e.self.String(),
		quorum:            quorum.NewTracker(found.Fleet),
		startedAt:         time.Now(),
		processorShare:    e.processorShare,
	}
	c.storedEra = records.era.Load()
	c.era.Store(c.storedEra)
	records.leaseConfirmedAt = c.lastLeaseConfirmation
	if len(e.registry.Snapshot().OwnedRanges) > 0 {
		// Most owners remain. Published at once, all ranges would count as moving until
		// their owners have confirmed the grants of this holder.
		c.publishedAt = c.startedAt
	}
	c.yieldAllowedAt = time.Now().Add(yieldDelay)
	if found.Yielded {
		c.yieldAllowedAt = time.Now().Add(yieldCooldown)
	}
	for incarnation, service := range found.Incarnations() {
		text, recorded := found.Addresses[incarnation.String()]
		if !recorded {
			continue
		}
		address, err := fleet.ParseAddress(text)
		if err != nil {
			c.log.Emit(events.OwnerRecordUnreadable, "server", incarnation.Name, "detail", err.Error())
			continue
		}
		c.recordedServers[incarnation] = &fleet.Server{Incarnation: incarnation, Service: service, Address: address}
	}
	retryBudget := e.retryBudget
	retryBudget.AssumeSpent = !owners.IsFirstEpoch(found.Epoch) || found.RangesLost
	c.scheduler = placing.New(retryBudget, c.table, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	c.scheduler.UseRelativeTimes(found.RelativeTimes)
	c.recordedTimes = found.RelativeTimes.Bounded()
	for service, times := range c.recordedTimes {
		c.log.Emit(events.ServiceTimesInherited, "service", service, "servers", len(times))
	}
	c.scheduler.UseCrashes(c.registry.Crashes())
	return c
}

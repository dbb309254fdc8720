package holder

import (
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// refresh switches to the current snapshot of the facts. If the listing, the operators'
// settings or the leaving servers have changed, it also plans and publishes. Limits of
// servers are planned and published with the next tick.
func (c *Coordinator) refresh(now time.Time) {
	snapshot := c.registry.Snapshot()
	if snapshot == c.snapshot || snapshot.Config == nil {
		return
	}
	changed := c.snapshot == nil || snapshot.ListingSequence != c.snapshot.ListingSequence || snapshot.OperatorSettingsSequence != c.snapshot.OperatorSettingsSequence ||
		snapshot.LeavingSequence != c.snapshot.LeavingSequence
	limitsChanged := c.snapshot == nil || snapshot.BackpressureSequence != c.snapshot.BackpressureSequence
	c.snapshot = snapshot
	c.refreshTeamCaps(now)
	if changed || limitsChanged {
		c.scheduler.SetLimits(func(s fleet.Incarnation) backpressure.Limit { return snapshot.Backpressure.Of(s).Limit })
	}
	if changed {
		c.scheduler.Update(now, snapshot.Config.Services, snapshot.Servers, func(s *fleet.Server) bool { return !snapshot.Usable(s) })
		c.plan(now)
		c.publish(now)
	}
}

// plan updates the planned owners of the keys of all keyed services.
func (c *Coordinator) plan(now time.Time) {
	if c.snapshot == nil {
		return
	}
	for _, service := range c.snapshot.Config.KeyedServices() {
		usableSlots := c.snapshot.Config.Services[service].UsableSlots
		var candidates []owners.Candidate
		for i := range c.snapshot.Servers {
			s := &c.snapshot.Servers[i]
			if s.Service != service {
				continue
			}
			candidates = append(candidates, owners.Candidate{
				Incarnation: s.Incarnation,
				Slots:       usableSlots(s.Slots),
				Usable:      c.snapshot.Usable(s),
				Cold:        s.Cold(now),
				ServiceTime: c.scheduler.ServiceTime(service, s.Name),
				Limit:       c.snapshot.Backpressure.Of(s.Incarnation).Limit,
			})
		}
		rates := c.scheduler.KeyRates(now, service)
		factsAge, _ := c.registry.Age(now)
		c.table.Plan(now, service, candidates, rates)
		spread := map[string]int{}
		for _, m := range c.table.TakeMoves() {
			if m.Reason == owners.MoveSpread {
				spread[m.From]++
			}
			c.log.Emit(events.MovePlanned, "service", service, "from", m.From, "to", m.To, "first", m.Interval.From, "last", m.Interval.To,
				"reason", m.Reason.String(), "per_s", rates.Sum(m.Interval.From, m.Interval.To), "listing_age_ms", factsAge.Milliseconds())
		}
		for server, parts := range spread {
			c.log.Emit(events.HotKeysSpread, "service", service, "server", server, "parts", parts)
		}
	}
	c.storeRecord(now)
}

// recordDue reports whether the record of owners must be written: at once if moves cannot
// begin before they are stored, this instance yields or has entered a later era of the store, after recordCleanupDelay if only the
// end of moves must be recorded, after fleetRecordDelay if only the fleet has changed, and after
// timesRecordInterval if only service times have.
func (c *Coordinator) recordDue(now time.Time) bool {
	due := c.era.Load() != c.storedEra || c.table.Dirty() && (c.table.HasUnstoredMoves() || now.Sub(c.storedAt) >= recordCleanupDelay) || c.fleetRecordDue(now) || c.timesRecordDue(now)
	return !c.storing && (due || c.yieldPlanned)
}

// storeRecord writes the record of owners in the background if that is due.
func (c *Coordinator) storeRecord(now time.Time) {
	if !c.recordDue(now) {
		return
	}
	record, version := c.newRecord(now)
	go func() {
		err := c.records.write(c.ctx, record)
		if errors.Is(err, ErrSuperseded) {
			c.supersede(endOtherRecord)
		}
		if err != nil {
			c.log.Emit(events.OwnerRecordFailed, "detail", err.Error())
			select {
			case <-c.ctx.Done():
			case <-time.After(storeRetryDelay):
			}
		} else {
			c.log.Emit(events.OwnerRecordStored, "epoch", record.Epoch, "version", version)
		}
		c.enqueue(func() {
			c.recordWritten(record, version, err)
			if !c.yielding.Load() {
				c.tick()
			}
		})
	}()
}

// newRecord begins a write of the record. It returns the record, which counts as possibly
// stored from now on, and the version of its plan.
func (c *Coordinator) newRecord(now time.Time) (owners.Record, uint64) {
	c.storing = true
	c.storedAt = now
	c.storingEra = c.era.Load()
	record := c.table.Record()
	record.Fleet = c.fleetToRecord(now)
	c.quorum.Propose(record.Fleet)
	record.MaxProcessorShare = max(c.processorShare, c.maxCandidateShare())
	record.Yielded = c.yieldPlanned
	record.InheritedGrantsPending = !c.table.InheritedGrantsEnded(now)
	record.RangesLost = c.table.RangesLost(now)
	record.RelativeTimes = c.scheduler.RelativeTimes()
	record.Addresses = map[string]string{}
	for incarnation := range record.Incarnations() {
		if server := c.findServer(incarnation); server != nil {
			record.Addresses[incarnation.String()] = string(server.Address)
		}
	}
	return record, c.table.PlanVersion()
}

// recordWritten ends a write of the record. If the record is stored, its moves begin and its
// fleet is the only one that a successor can find.
func (c *Coordinator) recordWritten(record owners.Record, version uint64, err error) {
	c.storing = false
	if err != nil {
		return
	}
	c.storedEra = c.storingEra
	c.table.MarkStored(version)
	c.recordedTimes = record.RelativeTimes
	c.quorum.Confirm(record.Fleet)
	if record.Yielded {
		c.yielding.Store(true)
		c.noteEnd(endYielded)
		c.endTenure()
	}
}

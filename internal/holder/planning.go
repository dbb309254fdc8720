package holder

import (
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// refresh takes over a changed view.
func (a *Actor) refresh(now time.Time) {
	view := a.board.View()
	if view == a.seen || view.Config == nil {
		return
	}
	planAnew := a.seen == nil || view.ListingSequence != a.seen.ListingSequence || view.OrdersSequence != a.seen.OrdersSequence
	a.seen = view
	if planAnew {
		a.placer.Update(now, view.Config.Services, view.Servers, func(s *fleet.Server) bool { return !view.Usable(s) })
		a.plan(now)
		a.publish(now)
	}
}

func (a *Actor) plan(now time.Time) {
	if a.seen == nil {
		return
	}
	for _, service := range a.seen.Config.KeyedServices() {
		var candidates []owners.Candidate
		for i := range a.seen.Servers {
			s := &a.seen.Servers[i]
			if s.Service != service {
				continue
			}
			candidates = append(candidates, owners.Candidate{
				Life:   s.Life,
				Slots:  s.Slots,
				Usable: a.seen.Usable(s),
				Cold:   s.Cold(now),
				Took:   a.placer.ServiceTime(service, s.Name),
			})
		}
		heat := a.placer.KeyRates(now, service)
		a.table.Plan(now, service, candidates, heat)
		for _, m := range a.table.TakeMoves() {
			a.log.Emit(events.MovePlanned, "service", service, "from", m.From, "to", m.To, "first", m.Interval.From, "last", m.Interval.To,
				"reason", m.Reason.String(), "per_s", heat.Sum(m.Interval.From, m.Interval.To), "listing_age_ms", link.AgeOf(a.board, now)/1000)
		}
	}
	a.store(now)
}

// store writes the record when moves wait for it, or after a while to note their end.
func (a *Actor) store(now time.Time) {
	if a.storing || !a.table.Dirty() || !a.table.Urgent() && now.Sub(a.storedAt) < cleanAfter {
		return
	}
	a.storing = true
	a.storedAt = now
	version := a.table.Planned()
	record := a.table.Record()
	record.Instances = a.instances(now)
	record.Unsettled = !a.table.Settled(now)
	record.Addresses = map[string]string{}
	for life := range record.Lives() {
		if server := a.known(life); server != nil {
			record.Addresses[life.String()] = server.Address
		}
	}
	go func() {
		err := a.record.write(a.ctx, record)
		if errors.Is(err, ErrDeposed) {
			a.deposed.Store(true)
		}
		if err != nil {
			a.log.Emit(events.RecordFailed, "detail", err.Error())
			select {
			case <-a.ctx.Done():
			case <-time.After(storeRetry):
			}
		} else {
			a.log.Emit(events.RecordStored, "epoch", record.Epoch, "version", version)
		}
		a.post(func() {
			a.storing = false
			if err == nil {
				a.table.Stored(version)
			}
			a.tick()
		})
	}()
}

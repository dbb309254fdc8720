package holder

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Actor is one tenure of the holder. One goroutine owns the table, the placer
// and the followers; everything else reaches it as an event.
type Actor struct {
	board   *facts.Board
	granter Granter
	log     *events.Logger
	record  *stored
	table   *owners.Table
	placer  *placing.Placer
	events  chan func()
	ctx     context.Context
	// deposed is set when another holder has shown itself.
	deposed atomic.Bool
	// contact is when the lease was last known to be ours, on this process's clock.
	contact atomic.Pointer[time.Time]

	// recorded holds the servers of the record that was found.
	recorded map[fleet.Life]*fleet.Server
	// expected is how many instances followed the last holder, or 0 once the
	// grants of earlier holders have a near end.
	expected int

	// What follows belongs to the goroutine.
	followers map[*link.Follower]bool
	// usual is the number of followers while the store last answered.
	usual     int
	byName    map[string]*link.Follower
	epoch     int64
	seen      *facts.View
	published uint64
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
}

func newActor(ctx context.Context, c *Campaign, record *stored, found owners.Record, until time.Time) *Actor {
	a := &Actor{
		board:     c.board,
		granter:   c.granter,
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
	}
	for life, service := range found.Lives() {
		if address := found.Addresses[life.String()]; address != "" {
			a.recorded[life] = &fleet.Server{Life: life, Service: service, Address: address}
		}
	}
	budget := c.budget
	budget.Spent = found.Epoch > 1
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
	defer a.cutAll()
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

func (a *Actor) cutAll() {
	for f := range a.followers {
		f.Cut()
	}
}

// Join admits a follower.
func (a *Actor) Join(f *link.Follower) bool {
	return a.post(func() {
		a.followers[f] = true
		a.byName[f.Instance] = f
		view := a.view()
		f.Deliver(&linkpb.Down{Facts: a.encode(view, f.Sent, time.Now())})
		f.Sent = sequences(view)
	})
}

// Leave forgets a follower.
func (a *Actor) Leave(f *link.Follower) {
	a.post(func() {
		delete(a.followers, f)
		if a.byName[f.Instance] == f {
			delete(a.byName, f.Instance)
		}
	})
}

// Receive takes a message of a follower.
func (a *Actor) Receive(f *link.Follower, up *linkpb.Up) {
	arrived := time.Now()
	if up.Facts != nil {
		link.TakeFacts(a.board, up.Facts, arrived)
	}
	a.post(func() {
		now := time.Now()
		for _, finish := range up.Finishes {
			a.finish(now, link.DecodeFinish(finish, f.Instance))
		}
		for _, number := range up.Withdrawn {
			a.placer.Withdraw(placing.Ticket{Instance: f.Instance, Number: number})
		}
		for _, ask := range up.Asks {
			a.placer.Arrive(now, link.DecodeAsk(ask, f.Instance, f.Domain, arrived))
		}
		a.answer(f, up.Asks)
	})
}

// finish takes note of the end of an attempt. An answer shows that the server
// lives, though orders to it may be lost.
func (a *Actor) finish(now time.Time, end placing.Finish) {
	a.placer.Finish(now, end)
	if end.Outcome != placing.Answered && end.Outcome != placing.Shed || a.seen == nil {
		return
	}
	if server := a.seen.Server(end.Server); server != nil {
		a.table.Answered(server.Life)
	}
}

// answer sends the verdicts and says which asks wait, so that their instance does too.
func (a *Actor) answer(f *link.Follower, asks []*linkpb.Ask) {
	decided := map[uint64]bool{}
	downs := a.verdicts()
	if down := downs[f]; down != nil {
		for _, v := range down.Verdicts {
			decided[v.Number] = true
		}
	}
	for _, ask := range asks {
		if !decided[ask.Number] {
			if downs[f] == nil {
				downs[f] = &linkpb.Down{}
			}
			downs[f].Waiting = append(downs[f].Waiting, ask.Number)
		}
	}
	for to, down := range downs {
		to.Deliver(down)
	}
}

// flush sends the verdicts that events have brought about.
func (a *Actor) flush() {
	for to, down := range a.verdicts() {
		to.Deliver(down)
	}
}

func (a *Actor) verdicts() map[*link.Follower]*linkpb.Down {
	out := map[*link.Follower]*linkpb.Down{}
	for _, v := range a.placer.Take() {
		f := a.byName[v.Ticket.Instance]
		if f == nil {
			continue
		}
		if out[f] == nil {
			out[f] = &linkpb.Down{}
		}
		out[f].Verdicts = append(out[f].Verdicts, link.EncodeVerdict(v))
	}
	return out
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
	a.placer.SetAlone(a.sole(now))
	a.placer.Tick(now)
	a.publish(now)
}

// sole reports whether no successor can have been elected, or none has any followers.
func (a *Actor) sole(now time.Time) bool {
	contact := a.contact.Load()
	if contact == nil || a.deposed.Load() {
		return false
	}
	return now.Sub(*contact) < leaseFor || len(a.followers) >= a.usual
}

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
				Took:   a.placer.Took(service, s.Name),
			})
		}
		heat := a.placer.Heat(now, service)
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
	record.Instances = len(a.followers)
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

// mayOrder reports whether this instance may still be the holder.
func (a *Actor) mayOrder(now time.Time) bool {
	contact := a.contact.Load()
	if contact == nil || a.deposed.Load() {
		return false
	}
	a.shortenForeign(now)
	silent := now.Sub(*contact)
	if silent <= aloneAfter {
		a.usual = len(a.followers)
		a.table.SetHold(owners.HoldFor)
		return true
	}
	// The store may be away for all, or only for this instance; in the second case
	// the followers leave for a successor.
	a.table.SetHold(holdWithoutStore)
	return silent <= withoutStore && float64(len(a.followers)) >= keptShare*float64(a.usual)
}

// shortenForeign ends the wait for grants of earlier holders once most instances follow this one.
func (a *Actor) shortenForeign(now time.Time) {
	if a.expected > 0 && float64(len(a.followers)) >= joinedShare*float64(a.expected) {
		a.expected = 0
		a.table.EndForeign(now.Add(foreignEnd))
	}
}

// order sends what is due.
func (a *Actor) order(now time.Time) {
	if a.seen == nil {
		return
	}
	for _, order := range a.table.Due(now, lives{a.seen}) {
		server := a.known(order.Life)
		if server == nil {
			a.apply(owners.Reply{Order: order, Outcome: owners.Unsent, Ended: now})
			continue
		}
		go func() {
			ctx, cancel := context.WithDeadline(a.ctx, order.Due.Add(orderTimeout(order)))
			reply := a.granter.Order(ctx, *server, order)
			cancel()
			a.post(func() {
				a.apply(reply)
				a.soon = true
			})
		}()
	}
}

// known returns a server that is or was listed, or that an earlier holder
// recorded, or nil.
func (a *Actor) known(life fleet.Life) *fleet.Server {
	if a.seen != nil {
		if server := a.seen.Known(life); server != nil {
			return server
		}
	}
	return a.recorded[life]
}

// orderTimeout leaves a release the time that running work may take.
func orderTimeout(order owners.Order) time.Duration {
	if order.Action == owners.ActionRelease {
		return owners.ReleaseTimeout
	}
	return owners.OrderTimeout
}

// goOn sends the orders that follow from replies without waiting for the next tick.
func (a *Actor) goOn() {
	if !a.soon {
		return
	}
	a.soon = false
	now := time.Now()
	if a.mayOrder(now) {
		a.order(now)
	}
	a.placer.Tick(now)
	a.publish(now)
}

func (a *Actor) apply(reply owners.Reply) {
	o := reply.Order
	reply = a.refusals.Judge(reply, a.placer.Running(o.Service, o.Life.Name) == 0)
	if reply.Outcome != owners.Done || o.Action == owners.ActionRelease || o.Handover != "" {
		a.log.Emit(events.OrderEnded, "action", o.Action.String(), "service", o.Service, "from", o.From, "to", o.To,
			"server", o.Life.Name, "fence", o.Fence, "outcome", reply.Outcome.String())
	}
	if !a.table.Apply(reply) {
		a.deposed.Store(true)
	}
}

// view returns what followers are told.
func (a *Actor) view() *facts.View {
	return a.board.View()
}

// publish sends changed facts, and heartbeats.
func (a *Actor) publish(now time.Time) {
	if version := a.table.Version(); version != a.published && now.Sub(a.publishedAt) >= publishEvery {
		a.published, a.publishedAt = version, now
		owned := map[string][]owners.View{}
		for _, service := range a.table.Services() {
			owned[service] = a.table.Spans(service)
		}
		a.board.Owned(owned, a.epoch)
	}
	beat := now.Sub(a.beatAt) >= link.HeartbeatEvery
	if beat {
		a.beatAt = now
	}
	view := a.view()
	encoded := map[link.Sent]*linkpb.Facts{} // most followers have got the same
	for f := range a.followers {
		if !beat && f.Sent == sequences(view) {
			continue
		}
		if encoded[f.Sent] == nil {
			encoded[f.Sent] = a.encode(view, f.Sent, now)
		}
		f.Deliver(&linkpb.Down{Facts: encoded[f.Sent]})
		f.Sent = sequences(view)
	}
}

func sequences(v *facts.View) link.Sent {
	return link.Sent{Orders: v.OrdersSequence, Listing: v.ListingSequence, Owned: v.OwnedSequence}
}

// encode returns what a follower must be told that has got sent.
func (a *Actor) encode(view *facts.View, sent link.Sent, now time.Time) *linkpb.Facts {
	message := link.EncodeFacts(view, sent, now)
	message.AgeUs = link.AgeOf(a.board, now)
	message.Instances = int32(len(a.followers))
	return message
}

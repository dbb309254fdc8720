package shard

import (
	"errors"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/grant"
	"peridotmoor.org/peridotmoor/internal/key"
)

// send makes the calls that are due: each server's list when it changed or must
// be renewed, or a question for the clock.
func (t *term) send(now time.Time) {
	t.rebuildLists()
	for _, l := range t.links {
		t.sendTo(l, now)
	}
}

func (t *term) sendTo(l *link, now time.Time) {
	if l.busy {
		return
	}
	due := !now.Before(l.nextCall)
	urgent := l.answers() && !now.Before(l.readyAt) && !slices.Equal(l.list, l.sent)
	if !due && !urgent {
		t.alarm.at(l.nextCall)
		return
	}
	if next, ok := t.grantFor(l, now); ok {
		t.start(l, next, now)
		return
	}
	if !due {
		t.alarm.at(l.nextCall)
		return
	}
	t.start(l, t.newCall(l), now)
}

// grantFor returns the call that grants the whole list, if one may be sent now.
func (t *term) grantFor(l *link, now time.Time) (call, bool) {
	if !t.config.Keyed || !l.answers() || now.Before(l.readyAt) || !t.tenure.ValidAt(now, t.margin(l)) {
		return call{}, false
	}
	message, ok := l.book.NextMessage(l.list, t.tenure.End, now)
	if !ok {
		return call{}, false
	}
	next := t.newCall(l)
	next.number = message.Number
	next.grant.Ranges = message.Ranges
	next.grant.Incarnation = message.Incarnation
	next.grant.Sequence = message.Number
	next.grant.Expiry = message.Expiry
	next.margin = t.margin(l)
	l.sent = l.list
	return next, true
}

// newCall returns a call that asks for the clock.
func (t *term) newCall(l *link) call {
	order := backend.Order{Shard: t.options.Shard, Token: t.tenure.Token, Holder: t.tenure.Holder}
	return call{grant: backend.Grant{Order: order}, timeout: t.config.RenewInterval}
}

// margin is how long before the end of the tenure the last command may be sent.
func (t *term) margin(l *link) time.Duration {
	if l.config.ChecksTokens {
		return 0
	}
	return t.config.MaxDelivery
}

func (t *term) start(l *link, next call, now time.Time) {
	l.busy = true
	l.calledAt = now
	l.nextCall = now.Add(t.config.RenewInterval)
	t.alarm.at(l.nextCall)
	l.calls <- next
}

// answered takes over how a call ended.
func (t *term) answered(a answer, now time.Time) {
	l := a.link
	if t.links[l.config.Name] != l {
		return // dropped meanwhile; its book waits for the expiry
	}
	l.busy = false
	switch {
	case a.unsent:
		l.book.Cancel(a.number)
		l.nextCall = now.Add(t.config.RenewInterval / 5)
	case a.err != nil:
		t.noteStale(l, a)
		t.markSilent(l, now)
	default:
		t.noteAnswer(l, a, now)
	}
}

// markSilent holds the ranges of a server that did not answer. Its grants are not
// renewed until it does: a frozen server must not own its ranges any longer than
// it has to. The next question follows soon, since the failure may be brief.
func (t *term) markSilent(l *link, now time.Time) {
	l.nextCall = later(now, l.calledAt.Add(t.config.RenewInterval/5))
	if l.condition == silent {
		return
	}
	if l.condition == answering {
		t.options.Log.Emit(events.ServerSilent, "shard", t.options.Shard.String(), "server", l.config.Name)
	}
	l.condition = silent
	l.silentSince = now
	t.viewDirty = true
	t.planSoon(now.Add(lostAfter))
}

func (t *term) noteAnswer(l *link, a answer, now time.Time) {
	echo := grant.ClockReading{ServerClock: a.answer.Clock, ReceivedAt: a.received}
	if l.book.RecordResponse(a.number, echo, a.answer.Incarnation) {
		t.noteRestart(l, now)
	}
	if l.condition != answering {
		if l.condition == silent {
			t.options.Log.Emit(events.ServerAnswering, "shard", t.options.Shard.String(), "server", l.config.Name)
			t.planSoon(now)
		}
		l.condition = answering
		l.nextCall = now
		t.viewDirty = true
	}
	if l.leaving != a.answer.Leaving {
		t.noteLeaving(l, a.answer.Leaving, now)
	}
	if t.tenure.Token.Less(a.answer.Highest) {
		t.reportStale(l, a.answer.Highest)
	}
}

// noteRestart gives the ranges of a restarted server to their standbys: it is
// cold and holds no grant, so they are free at once.
func (t *term) noteRestart(l *link, now time.Time) {
	t.options.Log.Emit(events.ServerRestarted, "shard", t.options.Shard.String(), "server", l.config.Name)
	l.gate.MarkCold("new incarnation")
	l.sent = nil
	for _, r := range t.rows {
		if r.owner != l.config.Name || !r.inList() {
			continue
		}
		if !t.chooseOwner(r, now) {
			r.assignTo(r.owner)
		}
		r.abandonRequests()
	}
	t.listsDirty = true
	t.viewDirty = true
}

func (t *term) noteLeaving(l *link, leaving bool, now time.Time) {
	t.options.Log.Emit(events.ServerLeaving, "shard", t.options.Shard.String(), "server", l.config.Name, "leaving", leaving)
	l.leaving = leaving
	l.gate.MarkLeaving(leaving)
	t.viewDirty = true
	t.planAt = now
}

func (t *term) noteStale(l *link, a answer) {
	if errors.Is(a.err, backend.ErrStale) {
		t.reportStale(l, a.answer.Highest)
	}
}

// reportStale reports each higher token of a server once.
func (t *term) reportStale(l *link, highest authority.Token) {
	if l.stale && highest == l.highest {
		return
	}
	l.stale = true
	l.highest = highest
	t.options.Log.Emit(events.ServerStale, "shard", t.options.Shard.String(),
		"server", l.config.Name, "token", t.tenure.Token.String(), "highest", highest.String())
	if t.options.OnStale != nil {
		t.options.OnStale(highest)
	}
}

// rebuildLists collects the ranges to grant to each server. Adjacent ranges are joined.
func (t *term) rebuildLists() {
	if !t.listsDirty {
		return
	}
	t.listsDirty = false
	for _, l := range t.links {
		l.list = make([]key.Range, 0, len(l.list))
	}
	if len(t.surrenders) > 0 {
		return
	}
	for _, r := range t.rows {
		l := t.links[r.owner]
		if l == nil || !r.inList() {
			continue
		}
		if n := len(l.list); n > 0 && l.list[n-1].End == r.bounds.Start {
			l.list[n-1].End = r.bounds.End
			continue
		}
		l.list = append(l.list, r.bounds)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package shard

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
)

// adoptConfig takes over a new configuration.
func (t *term) adoptConfig(now time.Time) {
	next := t.options.Config.Get()
	if next == t.config {
		return
	}
	t.config = next
	known := map[string]bool{}
	for _, server := range next.Servers {
		known[server.Name] = true
		t.adoptServer(server, now)
	}
	for name, l := range t.links {
		l.removed = !known[name]
	}
	t.planAt = now
	t.viewDirty = true
}

// adoptServer connects to a new server, or takes over changed settings of a known one.
func (t *term) adoptServer(server ServerConfig, now time.Time) {
	l := t.links[server.Name]
	switch {
	case l == nil:
		t.connect(server, now)
	case l.config.Address != server.Address:
		t.drop(l)
		t.connect(server, now)
	default:
		t.changeState(l, server)
		l.config = server
	}
}

// changeState notes that settings took the server out or back. A server that
// comes back starts cold.
func (t *term) changeState(l *link, server ServerConfig) {
	if l.config.Out == server.Out {
		return
	}
	t.options.Log.Emit(events.ServerOut, "shard", t.options.Shard.String(), "server", server.Name, "server_domain", server.Domain, "out", server.Out)
	if !server.Out {
		l.gate.MarkCold("back in service")
	}
}

// connect starts the sender of a server. The first call asks for its clock.
func (t *term) connect(server ServerConfig, now time.Time) {
	target := t.options.NewTarget(server)
	l := &link{
		config:   server,
		target:   target,
		gate:     t.options.GateOf(target),
		calls:    make(chan call, 1),
		nextCall: now,
		readyAt:  t.tenure.Since,
	}
	if !server.ChecksTokens {
		l.readyAt = t.tenure.Since.Add(t.config.MaxDelivery)
	}
	t.links[server.Name] = l
	ctx, stop := context.WithCancel(t.ctx)
	l.stop = stop
	s := &sender{link: l, tenures: t.options.Tenures, answers: t.answers}
	t.runtime.senders.Go(func() { s.run(ctx) })
}

// drop stops the sender of a server and keeps its book until what it owns has expired.
func (t *term) drop(l *link) {
	l.stop()
	l.stop = nil
	delete(t.links, l.config.Name)
	t.graves = append(t.graves, &l.book)
	t.listsDirty = true
	t.viewDirty = true
}

// dropRemoved drops the servers that are gone from the settings and own nothing.
func (t *term) dropRemoved(now time.Time) {
	for _, l := range t.links {
		if l.removed && len(l.list) == 0 && !l.book.AllFreeBy().After(now) {
			t.drop(l)
		}
	}
	t.pruneGraves(now)
}

// pruneGraves forgets the books of servers that provably own nothing.
func (t *term) pruneGraves(now time.Time) {
	keep := t.graves[:0:0]
	for _, book := range t.graves {
		if book.AllFreeBy().After(now) {
			keep = append(keep, book)
		}
	}
	t.graves = keep
}

// markReady notes the servers whose wait after the takeover has ended.
func (t *term) markReady(now time.Time) {
	for _, l := range t.links {
		if l.ready {
			continue
		}
		if now.Before(l.readyAt) {
			t.alarm.at(l.readyAt)
			continue
		}
		l.ready = true
		t.viewDirty = true
	}
}

package publish

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/settings/version"
	"peridotmoor.org/peridotmoor/internal/store"
)

// startup tracks how a starting instance gets its first settings: the newest version that a
// peer has. The store is read only when the peers have none, or when no settings have arrived
// within peerResponseTimeout, because a restored store could hold an older version than the one
// in effect.
type startup struct {
	startedAt       time.Time
	callsInFlight   int // requests to peers in flight
	withoutSettings int // peers of this round that have no settings either
	asked           int // peers asked in this round
	readingStore    bool
	nextReadAt      time.Time
}

// startupRound asks random peers for settings.
func (l *eventLoop) startupRound(ctx context.Context) {
	if l.startup.callsInFlight > 0 {
		return
	}
	if l.startup.startedAt.IsZero() {
		l.startup.startedAt = time.Now()
	}
	known := append(l.bootstrap(), l.publisher.config.Peers.Peers()...)
	peers := exchange.PickPeers(known, startupPeers, l.random)
	l.startup.asked, l.startup.withoutSettings, l.startup.callsInFlight = len(peers), 0, len(peers)
	for _, peer := range peers {
		l.call(ctx, forStartup, peer.Address, l.state.NewRequest(time.Now()))
	}
	l.maybeReadStore(ctx)
}

// countStartupReply counts the reply of a peer that was asked for settings.
func (l *eventLoop) countStartupReply(ctx context.Context, r callResult) {
	if r.purpose != forStartup {
		return
	}
	l.startup.callsInFlight--
	if r.err == nil && r.reply.SettingsVersion == 0 {
		l.startup.withoutSettings++
	}
	l.maybeReadStore(ctx)
}

// maybeReadStore reads the store when none of the peers asked has settings, when no peer is
// known, or when no settings have arrived within peerResponseTimeout.
func (l *eventLoop) maybeReadStore(ctx context.Context) {
	noneHasSettings := l.startup.callsInFlight == 0 && l.startup.withoutSettings == l.startup.asked
	if l.publisher.settings.Load() != nil || l.startup.readingStore || time.Now().Before(l.startup.nextReadAt) {
		return
	}
	if !noneHasSettings && time.Since(l.startup.startedAt) < peerResponseTimeout {
		return
	}
	l.startup.readingStore = true
	l.calls.Go(func() { l.readStore(ctx) })
}

// readStore reads the accepted version and passes it to the event loop.
func (l *eventLoop) readStore(ctx context.Context) {
	value, err := l.publisher.readAcceptedVersion(ctx)
	done := callResult{purpose: forStoreRead, err: err, reply: exchange.Reply{Settings: value}}
	select {
	case l.publisher.results <- done:
	case <-ctx.Done():
	}
}

// handleStoreRead installs the version that was read. Reads are repeated after a random delay,
// so that instances that start together spread their reads over time.
func (l *eventLoop) handleStoreRead(ctx context.Context, r callResult) {
	l.startup.readingStore = false
	l.startup.nextReadAt = time.Now().Add(minStoreReadInterval + time.Duration(l.random.Int64N(int64(minStoreReadInterval))))
	if r.err == nil && r.reply.Settings != nil {
		l.install(ctx, *r.reply.Settings, "store")
	}
}

// readAcceptedVersion returns the accepted version from the store, or nil if there is none.
func (p *Publisher) readAcceptedVersion(ctx context.Context) (*exchange.SettingsValue, error) {
	entry, err := p.store.get(ctx, version.CurrentKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	v, err := version.Decode(entry.Value)
	if err != nil {
		return nil, err
	}
	value := newSettingsValue(v.Number, entry.Value)
	return &value, nil
}

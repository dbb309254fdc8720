package publish

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/settings/version"
	"peridotmoor.org/peridotmoor/internal/store"
)

// startup is how a starting instance gets its first settings: the newest that a
// peer has. The store is read only when no peer has any, because a restored
// store could hold an older version than the one in effect.
type startup struct {
	began    time.Time
	calls    int // under way
	empty    int // peers of this round that have no settings either
	asked    int // peers asked in this round
	reading  bool
	nextRead time.Time
}

// startRound asks peers for settings.
func (l *eventLoop) startRound(ctx context.Context) {
	if l.startup.calls > 0 {
		return
	}
	if l.startup.began.IsZero() {
		l.startup.began = time.Now()
	}
	known := append(l.bootstrap(), l.publisher.config.Peers.Peers()...)
	peers := exchange.PickPeers(known, startPeers, l.random)
	l.startup.asked, l.startup.empty, l.startup.calls = len(peers), 0, len(peers)
	for _, peer := range peers {
		l.call(ctx, forStartup, peer.Address, l.state.NewRequest(time.Now()))
	}
	l.considerStore(ctx)
}

// startEnded counts the answer of a peer that was asked for settings.
func (l *eventLoop) startEnded(ctx context.Context, r callResult) {
	if r.purpose != forStartup {
		return
	}
	l.startup.calls--
	if r.err == nil && r.reply.SettingsVersion == 0 {
		l.startup.empty++
	}
	l.considerStore(ctx)
}

// considerStore reads the store when all peers asked have no settings, when none
// is known, or when peers did not answer for startPatience.
func (l *eventLoop) considerStore(ctx context.Context) {
	allEmpty := l.startup.calls == 0 && l.startup.empty == l.startup.asked
	if l.publisher.settings.Load() != nil || l.startup.reading || time.Now().Before(l.startup.nextRead) {
		return
	}
	if !allEmpty && time.Since(l.startup.began) < startPatience {
		return
	}
	l.startup.reading = true
	l.calls.Go(func() { l.readStore(ctx) })
}

// readStore offers the store's version to the loop.
func (l *eventLoop) readStore(ctx context.Context) {
	value, err := l.publisher.storedValue(ctx)
	done := callResult{purpose: forStoreRead, err: err, reply: exchange.Reply{Settings: value}}
	select {
	case l.publisher.results <- done:
	case <-ctx.Done():
	}
}

// storeRead ends a read of the store. Failed reads are repeated with a pause that
// varies, so that instances that start together spread their reads.
func (l *eventLoop) storeRead(ctx context.Context, r callResult) {
	l.startup.reading = false
	l.startup.nextRead = time.Now().Add(startReadPause + time.Duration(l.random.Int64N(int64(startReadPause))))
	if r.err == nil && r.reply.Settings != nil {
		l.install(ctx, *r.reply.Settings, "store")
	}
}

// storedValue reads the accepted version; nil when there is none.
func (p *Publisher) storedValue(ctx context.Context) (*exchange.SettingsValue, error) {
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
	value := fromStore(v.Number, entry.Value)
	return &value, nil
}

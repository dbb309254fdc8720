package publish

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/settings/version"
	"peridotmoor.org/peridotmoor/internal/store"
)

// start is how a starting instance gets its first settings: the newest that a
// peer has. The store is read only when no peer has any, because a restored
// store could hold an older version than the one in effect.
type start struct {
	began    time.Time
	calls    int // under way
	empty    int // peers of this round that have no settings either
	asked    int // peers asked in this round
	reading  bool
	nextRead time.Time
}

// startRound asks peers for settings.
func (l *loop) startRound(ctx context.Context) {
	if l.start.calls > 0 {
		return
	}
	if l.start.began.IsZero() {
		l.start.began = time.Now()
	}
	known := append(l.bootstrap(), l.p.config.Peers.Peers()...)
	peers := exchange.PickPeers(known, startPeers, l.random)
	l.start.asked, l.start.empty, l.start.calls = len(peers), 0, len(peers)
	for _, peer := range peers {
		l.call(ctx, forStart, peer.Address, l.state.NewRequest(time.Now()))
	}
	l.considerStore(ctx)
}

// startEnded counts the answer of a peer that was asked for settings.
func (l *loop) startEnded(ctx context.Context, r result) {
	if r.purpose != forStart {
		return
	}
	l.start.calls--
	if r.err == nil && r.reply.SettingsVersion == 0 {
		l.start.empty++
	}
	l.considerStore(ctx)
}

// considerStore reads the store when all peers asked have no settings, when none
// is known, or when peers did not answer for startPatience.
func (l *loop) considerStore(ctx context.Context) {
	allEmpty := l.start.calls == 0 && l.start.empty == l.start.asked
	if l.p.settings.Load() != nil || l.start.reading || time.Now().Before(l.start.nextRead) {
		return
	}
	if !allEmpty && time.Since(l.start.began) < startPatience {
		return
	}
	l.start.reading = true
	l.calls.Go(func() { l.readStore(ctx) })
}

// readStore offers the store's version to the loop.
func (l *loop) readStore(ctx context.Context) {
	value, err := l.p.storedValue(ctx)
	done := result{purpose: forStoreRead, err: err, reply: exchange.Reply{Settings: value}}
	select {
	case l.p.results <- done:
	case <-ctx.Done():
	}
}

// storeRead ends a read of the store. Failed reads are repeated with a pause that
// varies, so that instances that start together spread their reads.
func (l *loop) storeRead(ctx context.Context, r result) {
	l.start.reading = false
	l.start.nextRead = time.Now().Add(startReadPause + time.Duration(l.random.Int64N(int64(startReadPause))))
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

package publish

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/settings"
)

// loop is the one goroutine that owns the state of a publisher.
type loop struct {
	p      *Publisher
	state  exchange.State
	random *rand.Rand
	calls  sync.WaitGroup

	pending exchange.Update // not yet passed on
	pushes  int             // calls under way that pass news on
	fetch   fetch
	start   start
}

func newLoop(p *Publisher) *loop {
	c := p.config
	return &loop{
		p:      p,
		state:  exchange.State{Self: c.Self, Domain: c.Domain, Address: c.Address},
		random: rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64())),
	}
}

// run handles one event at a time until the context ends and all calls have returned.
func (l *loop) run(ctx context.Context) {
	defer l.calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-l.p.inbound:
			in.reply <- l.answer(ctx, in.request)
		case r := <-l.p.results:
			l.receive(ctx, r)
		case news := <-l.p.local:
			l.enter(ctx, news)
		case f := <-l.p.found:
			f.done <- l.install(ctx, f.value, "store")
		case <-timer.C:
			l.tick(ctx)
			timer.Reset(l.interval())
		}
	}
}

// interval returns the time to the next regular exchange.
func (l *loop) interval() time.Duration {
	if l.p.settings.Load() == nil {
		return startInterval
	}
	interval := l.p.settings.Load().Tree.Control().ExchangeInterval
	jitter := 1 + intervalJitter*(2*l.random.Float64()-1)
	return time.Duration(float64(interval) * jitter)
}

// tick opens the regular exchange.
func (l *loop) tick(ctx context.Context) {
	if l.p.settings.Load() == nil {
		l.startRound(ctx)
		return
	}
	for _, peer := range exchange.PickPeers(l.peers(), 1, l.random) {
		l.call(ctx, forExchange, peer.Address, l.state.NewRequest(time.Now()))
	}
}

// peers returns the known instances; without any, the bootstrap list.
func (l *loop) peers() []exchange.Peer {
	if listed := l.p.config.Peers.Peers(); len(listed) > 0 {
		return listed
	}
	return l.bootstrap()
}

func (l *loop) bootstrap() []exchange.Peer {
	var peers []exchange.Peer
	for _, address := range l.p.config.Bootstrap {
		if address != l.p.config.Address {
			peers = append(peers, exchange.Peer{Address: address})
		}
	}
	return peers
}

// answer replies to a peer and asks it for settings that this instance lacks.
func (l *loop) answer(ctx context.Context, r exchange.Request) exchange.Reply {
	l.heard(exchange.Reply{From: r.From, Domain: r.Domain, Leaving: r.Leaving}, r.Address)
	l.learn(ctx, r.Shards, r.Quarantine)
	reply := l.state.NewReply(r, time.Now())
	l.announce(ctx, r.Address, r.SettingsVersion)
	return reply
}

// enter takes news of this instance itself.
func (l *loop) enter(ctx context.Context, news local) {
	l.state.Leaving = l.state.Leaving || news.leaving
	l.learn(ctx, news.shards, news.marks)
}

// learn takes over and publishes what is new, and passes it on.
func (l *loop) learn(ctx context.Context, shards []exchange.ShardEntry, marks []exchange.QuarantineMark) {
	state, news := l.state.Merge(shards, marks, time.Now())
	l.state = state
	if len(news.Shards) > 0 {
		l.p.shards.Store(state.Shards)
		l.p.shardNotice.announce()
	}
	if len(news.Quarantine) > 0 {
		l.p.quarantine.Store(state.Quarantine)
		l.p.quarantineNotice.announce()
	}
	l.passOn(ctx, news)
}

// install checks a settings value and brings it into effect if it is newer.
func (l *loop) install(ctx context.Context, value exchange.SettingsValue, source string) error {
	if !l.state.NeedsVersion(value.Version) {
		return nil
	}
	installed, err := load(value)
	if err != nil {
		l.refuse(value.Version, source, err)
		return err
	}
	state, news := l.state.Install(value)
	l.state = state
	first := l.p.settings.Swap(installed) == nil
	l.p.settingsNotice.announce()
	if first {
		close(l.p.ready)
	}
	l.p.config.Events.Emit(events.SettingsInstalled, "version", value.Version, "author", installed.Version.Author, "source", source)
	l.passOn(ctx, news)
	return nil
}

// refuse remembers a version whose tree this release does not accept, so that it
// is not transferred again. A damaged value may come undamaged from elsewhere.
func (l *loop) refuse(version uint64, source string, err error) {
	var issues settings.Issues
	if errors.As(err, &issues) {
		l.state.RefusedVersion = max(l.state.RefusedVersion, version)
	}
	l.p.config.Events.Emit(events.SettingsRefused, "version", version, "source", source, "error", err.Error())
}

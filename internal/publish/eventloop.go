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

// eventLoop is the state of a publisher. One goroutine owns it and handles its events.
type eventLoop struct {
	publisher *Publisher
	state     exchange.State
	random    *rand.Rand
	calls     sync.WaitGroup

	pendingUpdate  exchange.Update // not yet pushed
	pushesInFlight int             // calls in flight that push updates
	fetch          settingsFetch
	startup        startup
}

func newEventLoop(p *Publisher) *eventLoop {
	c := p.config
	return &eventLoop{
		publisher: p,
		state:     exchange.State{Self: c.Self, Domain: c.Domain, Address: c.Address},
		random:    rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64())),
	}
}

// run handles events one at a time until ctx is cancelled, and then waits for all calls to
// return.
func (l *eventLoop) run(ctx context.Context) {
	defer l.calls.Wait()
	l.exchangeRound(ctx)
	timer := time.NewTimer(l.interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-l.publisher.incoming:
			in.reply <- l.handleRequest(ctx, in.request)
		case r := <-l.publisher.results:
			l.handleResult(ctx, r)
		case update := <-l.publisher.localUpdates:
			l.applyLocal(ctx, update)
		case v := <-l.publisher.storeValues:
			v.done <- l.install(ctx, v.value, "store")
		case <-timer.C:
			l.exchangeRound(ctx)
			timer.Reset(l.interval())
		}
	}
}

// interval returns the time until the next regular exchange.
func (l *eventLoop) interval() time.Duration {
	if l.publisher.settings.Load() == nil {
		return startupInterval
	}
	interval := l.publisher.settings.Load().Tree.Control().ExchangeInterval
	jitter := 1 + intervalJitter*(2*l.random.Float64()-1)
	return time.Duration(float64(interval) * jitter)
}

// exchangeRound starts the regular exchange with one random peer, or, while no settings are in
// effect, a startup round.
func (l *eventLoop) exchangeRound(ctx context.Context) {
	if l.publisher.settings.Load() == nil {
		l.startupRound(ctx)
		return
	}
	for _, peer := range exchange.PickPeers(l.peers(), 1, l.random) {
		l.call(ctx, forExchange, peer.Address, l.state.NewRequest(time.Now()))
	}
}

// peers returns the known instances, or the bootstrap list if none is known.
func (l *eventLoop) peers() []exchange.Peer {
	if listed := l.publisher.config.Peers.Peers(); len(listed) > 0 {
		return listed
	}
	return l.bootstrap()
}

func (l *eventLoop) bootstrap() []exchange.Peer {
	var peers []exchange.Peer
	for _, address := range l.publisher.config.Bootstrap {
		if address != l.publisher.config.Address {
			peers = append(peers, exchange.Peer{Address: address})
		}
	}
	return peers
}

// handleRequest builds the reply to a peer's request and fetches newer settings that the peer
// announced.
func (l *eventLoop) handleRequest(ctx context.Context, r exchange.Request) exchange.Reply {
	l.reportContact(exchange.Reply{From: r.From, Domain: r.Domain, Leaving: r.Leaving}, r.Address)
	l.merge(ctx, r.Shards, r.Quarantine)
	reply := l.state.NewReply(r, time.Now())
	l.noteAnnouncedVersion(ctx, r.Address, r.SettingsVersion)
	return reply
}

// applyLocal applies an update that originates at this instance.
func (l *eventLoop) applyLocal(ctx context.Context, update localUpdate) {
	l.state.Leaving = l.state.Leaving || update.leaving
	l.merge(ctx, update.shards, update.marks)
}

// merge merges newer entries into the state, publishes them and queues them for a push.
func (l *eventLoop) merge(ctx context.Context, shards []exchange.ShardEntry, marks []exchange.QuarantineMark) {
	state, update := l.state.Merge(shards, marks, time.Now())
	l.state = state
	if len(update.Shards) > 0 {
		l.publisher.shards.Store(state.Shards)
		l.publisher.shardsNotifier.notify()
	}
	if len(update.Quarantine) > 0 {
		l.publisher.quarantine.Store(state.Quarantine)
		l.publisher.quarantineNotifier.notify()
	}
	l.queueUpdate(ctx, update)
}

// install validates a settings value and makes it the version in effect if it is newer.
func (l *eventLoop) install(ctx context.Context, value exchange.SettingsValue, source string) error {
	if !l.state.NeedsVersion(value.Version) {
		return nil
	}
	installed, err := decodeSettings(value)
	if err != nil {
		l.refuseSettings(value.Version, source, err)
		return err
	}
	state, update := l.state.Install(value)
	l.state = state
	first := l.publisher.settings.Swap(installed) == nil
	l.publisher.settingsNotifier.notify()
	if first {
		close(l.publisher.ready)
	}
	l.publisher.config.Events.Emit(events.SettingsInstalled, "version", value.Version, "author", installed.Version.Author, "source", source)
	l.queueUpdate(ctx, update)
	return nil
}

// refuseSettings records a version whose tree this release does not accept, so that it is not
// transferred again. A corrupted value is not recorded, since another peer may have an intact
// copy.
func (l *eventLoop) refuseSettings(version uint64, source string, err error) {
	var issues settings.Issues
	if errors.As(err, &issues) {
		l.state.RefusedVersion = max(l.state.RefusedVersion, version)
	}
	l.publisher.config.Events.Emit(events.SettingsRefused, "version", version, "source", source, "error", err.Error())
}

package publish

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/settings"
)

// ErrStopped means that this instance no longer takes part in exchanges.
var ErrStopped = errors.New("this instance has stopped and takes part in no further exchanges; use another one")

// Publisher holds the settings, the shard table and the quarantine of one instance. The
// methods that read them may be called by any goroutine and never block.
type Publisher struct {
	config Config
	store  *storeClient

	settings   atomic.Pointer[InstalledSettings]
	shards     atomic.Pointer[exchange.ShardTable]
	quarantine atomic.Pointer[exchange.Quarantine]

	settingsNotifier   *changeNotifier
	shardsNotifier     *changeNotifier
	quarantineNotifier *changeNotifier
	ready              chan struct{}

	incoming     chan incomingExchange
	localUpdates chan localUpdate
	storeValues  chan storeValue
	results      chan callResult
	stopped      chan struct{}
}

// New returns a publisher without settings. Run starts it.
func New(config Config) *Publisher {
	return &Publisher{
		config:             config,
		store:              &storeClient{store: config.Store},
		settingsNotifier:   newChangeNotifier(),
		shardsNotifier:     newChangeNotifier(),
		quarantineNotifier: newChangeNotifier(),
		ready:              make(chan struct{}),
		incoming:           make(chan incomingExchange),
		localUpdates:       make(chan localUpdate),
		storeValues:        make(chan storeValue),
		results:            make(chan callResult),
		stopped:            make(chan struct{}),
	}
}

// Run exchanges state with peers and takes part in electing the settings watcher until ctx is
// cancelled. It must be called only once.
func (p *Publisher) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	w := &watcherElection{publisher: p, random: rand.New(rand.NewPCG(p.config.Random.Uint64(), p.config.Random.Uint64()))}
	wg.Go(func() { w.run(ctx) })
	newEventLoop(p).run(ctx)
	close(p.stopped)
	cancel()
	wg.Wait()
}

// Ready returns a channel that is closed once a settings version is in effect.
func (p *Publisher) Ready() <-chan struct{} { return p.ready }

// Settings returns the version in effect, or nil before Ready.
func (p *Publisher) Settings() *InstalledSettings { return p.settings.Load() }

// Tree returns the settings tree in effect, or nil before Ready.
func (p *Publisher) Tree() *settings.Tree {
	installed := p.settings.Load()
	if installed == nil {
		return nil
	}
	return installed.Tree
}

// SettingsChanged returns a channel that is closed when another version comes into effect.
// Call it before Settings, so that no change is missed.
func (p *Publisher) SettingsChanged() <-chan struct{} { return p.settingsNotifier.nextChange() }

// Shards returns the shard table. A nil table is empty.
func (p *Publisher) Shards() *exchange.ShardTable { return p.shards.Load() }

// ShardsChanged returns a channel that is closed when the shard table changes.
func (p *Publisher) ShardsChanged() <-chan struct{} { return p.shardsNotifier.nextChange() }

// Quarantine returns the marks in effect. A nil quarantine is empty.
func (p *Publisher) Quarantine() *exchange.Quarantine { return p.quarantine.Load() }

// QuarantineChanged returns a channel that is closed when a mark is added or its crash count
// rises.
func (p *Publisher) QuarantineChanged() <-chan struct{} { return p.quarantineNotifier.nextChange() }

// StoreCalls returns how many calls this instance has made to the store for settings. A watch
// counts once, however long it waits.
func (p *Publisher) StoreCalls() uint64 { return p.store.calls.Load() }

// AnnounceShards adds entries to the shard table and distributes them, for example after this
// instance has become the holder of a shard. Entries whose token is not higher than the known
// one have no effect.
func (p *Publisher) AnnounceShards(entries ...exchange.ShardEntry) {
	p.sendLocal(localUpdate{shards: entries})
}

// AnnounceMarks adds quarantine marks of this instance and distributes them.
func (p *Publisher) AnnounceMarks(marks ...exchange.QuarantineMark) {
	p.sendLocal(localUpdate{marks: marks})
}

// SetLeaving tells peers in all further messages that this instance is leaving.
func (p *Publisher) SetLeaving() { p.sendLocal(localUpdate{leaving: true}) }

func (p *Publisher) sendLocal(update localUpdate) {
	select {
	case p.localUpdates <- update:
	case <-p.stopped:
	}
}

// Exchange returns the reply to a request from a peer.
func (p *Publisher) Exchange(ctx context.Context, r exchange.Request) (exchange.Reply, error) {
	in := incomingExchange{request: r, reply: make(chan exchange.Reply, 1)}
	select {
	case p.incoming <- in:
	case <-p.stopped:
		return exchange.Reply{}, ErrStopped
	case <-ctx.Done():
		return exchange.Reply{}, ctx.Err()
	}
	select {
	case reply := <-in.reply:
		return reply, nil
	case <-p.stopped:
		return exchange.Reply{}, ErrStopped
	}
}

// installFromStore passes a value from the store to the event loop. It returns an error if
// the value was refused or ctx was cancelled before.
func (p *Publisher) installFromStore(ctx context.Context, value exchange.SettingsValue) error {
	v := storeValue{value: value, done: make(chan error, 1)}
	select {
	case p.storeValues <- v:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-v.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

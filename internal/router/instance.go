// Package router assembles one instance: it starts the parts, applies settings
// to them and ends them in a planned stop.
package router

import (
	"context"
	"math/rand/v2"
	"sync"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/authority/keeper"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/forward"
	"peridotmoor.org/peridotmoor/internal/instances/httplist"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/membership"
	"peridotmoor.org/peridotmoor/internal/metrics"
	"peridotmoor.org/peridotmoor/internal/nodeconfig"
	"peridotmoor.org/peridotmoor/internal/peer"
	"peridotmoor.org/peridotmoor/internal/publish"
	"peridotmoor.org/peridotmoor/internal/quarantine"
	"peridotmoor.org/peridotmoor/internal/record"
	"peridotmoor.org/peridotmoor/internal/store/httpstore"
	"peridotmoor.org/peridotmoor/internal/tracing"
)

const (
	// storeConnections serves a waiting watch, the lease and a few other calls at once.
	storeConnections = 8
	// requestLimit bounds the requests in flight through one instance; with 64 KB
	// of buffered body each it bounds their memory to 128 MB.
	requestLimit = 2048
	// spanRatio is the share of traces that start here and are recorded.
	spanRatio = 0.01
)

// Instance is one router process.
type Instance struct {
	config    nodeconfig.Config
	listeners *listeners
	outputs   *outputs
	parts     *parts
	shards    *shardSet
	holders   *holderTable
	readiness *readiness
	forwarder *forward.Forwarder
	observer  *entryObserver
	server    *peer.Server
	pool      *peer.Pool
	// leaving counts hand-overs that a change of the settings started.
	leaving sync.WaitGroup
}

// New opens the endpoints and outputs and connects the parts. Run starts them.
func New(ctx context.Context, config nodeconfig.Config) (*Instance, error) {
	listeners, err := listen(config.Listen)
	if err != nil {
		return nil, err
	}
	outputs, err := openOutputs(config)
	if err != nil {
		listeners.close()
		return nil, err
	}
	i := &Instance{config: config, listeners: listeners, outputs: outputs, holders: newHolderTable(), readiness: &readiness{}}
	if err := i.connect(ctx); err != nil {
		listeners.close()
		outputs.close()
		return nil, err
	}
	return i, nil
}

func (i *Instance) connect(ctx context.Context) error {
	p, err := i.newParts(ctx)
	if err != nil {
		return err
	}
	i.parts = p
	i.shards = newShardSet(p)
	local := &localHandler{shards: i.shards, tracer: p.tracer}
	i.observer = &entryObserver{log: p.log, tracer: p.tracer, metrics: p.metrics.Requests}
	i.forwarder = forward.New(forward.Options{
		Services:     &treeViews{publisher: p.publisher, domain: p.self.Domain},
		Holders:      i.holders,
		HolderClient: &holderCaller{self: p.self.Instance, local: local, peers: p.peers, tracer: p.tracer},
		Observer:     i.observer,
		MaxInFlight:  requestLimit,
	})
	i.server = peer.NewServer(peer.Handlers{
		Requests: local,
		Witness:  p.keeper,
		Mirror:   &mirrorGuard{mirror: p.mirror, keeper: p.keeper},
		Exchange: p.publisher,
		HandOver: &handOverHandler{shards: i.shards},
	}, p.metrics.Control)
	p.metrics.Register(newShardCollector(i.shards))
	p.metrics.Register(newInstanceCollector(i))
	return nil
}

// newParts builds what the shards share. A new process draws a new incarnation,
// because it has lost all promises of an earlier one.
func (i *Instance) newParts(ctx context.Context) (*parts, error) {
	c := i.config
	self := authority.Member{
		Instance: authority.Instance{Name: c.Instance.Name, Incarnation: keeper.NewIncarnation()},
		Address:  i.listeners.peers.Addr().String(),
		Domain:   c.Instance.Domain,
	}
	platform, err := httpstore.New(c.Platform.Store, storeConnections)
	if err != nil {
		return nil, err
	}
	lister, err := httplist.New(c.Platform.Instances)
	if err != nil {
		return nil, err
	}
	tracer, err := tracing.New(ctx, tracing.Config{Endpoint: c.Trace.Endpoint, Output: i.outputs.spans, Ratio: spanRatio, Instance: c.Instance.Name})
	if err != nil {
		return nil, err
	}
	registry := metrics.NewRegistry()
	p := &parts{
		self:       self,
		log:        events.NewLogger(i.outputs.records, events.FieldInstance, c.Instance.Name, events.FieldDomain, c.Instance.Domain),
		tracer:     tracer,
		metrics:    registry,
		store:      metrics.NewInstrumentedStore(platform, registry.Store),
		quarantine: quarantine.NewList(),
	}
	i.pool = peer.NewPool()
	p.peers = peer.NewClient(i.pool, registry.Control)
	p.members = membership.NewTracker(self.Instance.Name, lister, p.peers, p.log)
	known := &contacts{tracker: p.members}
	p.mirror = record.NewMirrorWithShardOptions(self.Instance, func(shard key.ShardID) record.Options {
		if p.publisher.Settings() == nil {
			return record.Options{} // the defaults, until settings are in effect here too
		}
		return p.recordOptions(shard.Service)
	})
	p.copier = &localCopier{self: self.Instance, mirror: p.mirror, next: peer.NewMirrorClient(p.peers, known)}
	p.publisher = publish.New(publish.Config{
		Self:      self.Instance,
		Domain:    c.Instance.Domain,
		Address:   self.Address,
		Bootstrap: c.Peers.Addresses,
		Peers:     known,
		Caller:    p.peers,
		Store:     p.store,
		Observer:  known,
		Events:    p.log,
		Random:    newRandom(),
	})
	p.keeper = keeper.New(keeper.Options{
		Self:   self,
		Timing: authority.DefaultTiming(),
		Store:  p.store,
		Voter:  p.peers,
		Prober: p.peers,
		Peers:  p.members,
		Random: newRandom(),
		Log:    p.log,
	})
	return p, nil
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

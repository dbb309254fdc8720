// Package router assembles one instance: it starts the components, applies new
// versions of the settings to them and shuts them down in a planned stop.
package router

import (
	"context"
	"math/rand/v2"
	"sync"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/authority/runner"
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
	// storeConnections is enough for a long-polling watch, the lease and a few other
	// concurrent calls.
	storeConnections = 8
	// maxRequestsInFlight limits the requests in flight through one instance. With up
	// to 64 KB of buffered body each, they use at most 128 MB.
	maxRequestsInFlight = 2048
	// traceSampleRatio is the fraction of the traces started by this instance that are
	// recorded.
	traceSampleRatio = 0.01
)

// Instance is one router process.
type Instance struct {
	config     nodeconfig.Config
	listeners  *listeners
	outputs    *outputs
	components *components
	shards     *shardSet
	holders    *holderTable
	readiness  *readiness
	forwarder  *forward.Forwarder
	observer   *entryObserver
	server     *peer.Server
	pool       *peer.Pool
	// background tracks the goroutines started by a change of the settings: hand-overs
	// and the wait for readiness.
	background sync.WaitGroup
}

// New opens the endpoints and output files and assembles the components. Run starts
// them.
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
	if err := i.assemble(ctx); err != nil {
		listeners.close()
		outputs.close()
		return nil, err
	}
	return i, nil
}

func (i *Instance) assemble(ctx context.Context) error {
	c, err := i.newComponents(ctx)
	if err != nil {
		return err
	}
	i.components = c
	i.shards = newShardSet(c)
	local := &localHandler{shards: i.shards, tracer: c.tracer}
	i.observer = &entryObserver{log: c.log, tracer: c.tracer, metrics: c.metrics.Requests}
	i.forwarder = forward.New(forward.Options{
		Services:     &settingsView{publisher: c.publisher, domain: c.self.Domain},
		Holders:      i.holders,
		HolderClient: &holderCaller{self: c.self.Instance, local: local, peers: c.peers, tracer: c.tracer},
		Observer:     i.observer,
		MaxInFlight:  maxRequestsInFlight,
	})
	i.server = peer.NewServer(peer.Handlers{
		Requests: local,
		Witness:  c.runner,
		Mirror:   &mirrorGuard{mirror: c.mirror, runner: c.runner},
		Exchange: c.publisher,
		HandOver: &handOverHandler{shards: i.shards},
	}, c.metrics.Control)
	c.metrics.Register(newShardCollector(i.shards))
	c.metrics.Register(newInstanceCollector(i))
	return nil
}

// newComponents creates the components that all shards share. Each process has a new
// incarnation, because it does not know the promises of an earlier process.
func (i *Instance) newComponents(ctx context.Context) (*components, error) {
	config := i.config
	self := authority.Member{
		Instance: authority.Instance{Name: config.Instance.Name, Incarnation: runner.NewIncarnation()},
		Address:  i.listeners.peers.Addr().String(),
		Domain:   config.Instance.Domain,
	}
	platform, err := httpstore.New(config.Platform.Store, storeConnections)
	if err != nil {
		return nil, err
	}
	lister, err := httplist.New(config.Platform.Instances)
	if err != nil {
		return nil, err
	}
	tracer, err := tracing.New(ctx, tracing.Config{Endpoint: config.Trace.Endpoint, Output: i.outputs.spans, Ratio: traceSampleRatio, Instance: config.Instance.Name})
	if err != nil {
		return nil, err
	}
	registry := metrics.NewRegistry()
	c := &components{
		self:       self,
		log:        events.NewLogger(i.outputs.records, events.FieldInstance, config.Instance.Name, events.FieldDomain, config.Instance.Domain),
		tracer:     tracer,
		metrics:    registry,
		store:      metrics.NewInstrumentedStore(platform, registry.Store),
		quarantine: quarantine.NewList(),
	}
	i.pool = peer.NewPool()
	c.peers = peer.NewClient(i.pool, registry.Control)
	c.members = membership.NewTracker(self.Instance.Name, lister, c.peers, c.log)
	adapter := &membershipAdapter{tracker: c.members}
	c.mirror = record.NewMirrorWithShardOptions(self.Instance, func(shard key.ShardID) record.Options {
		if c.publisher.Settings() == nil {
			return record.Options{} // defaults until settings are in effect in this instance
		}
		return c.recordOptions(shard.Service)
	})
	c.mirrorClient = &localMirrorClient{self: self.Instance, mirror: c.mirror, remote: peer.NewMirrorClient(c.peers, adapter)}
	c.publisher = publish.New(publish.Config{
		Self:       self.Instance,
		Domain:     config.Instance.Domain,
		Address:    self.Address,
		Bootstrap:  config.Peers.Addresses,
		Peers:      adapter,
		PeerClient: c.peers,
		Store:      c.store,
		Observer:   adapter,
		Events:     c.log,
		Random:     newRandom(),
	})
	c.runner = runner.New(runner.Options{
		Self:          self,
		Timing:        authority.DefaultTiming(),
		Store:         c.store,
		WitnessClient: c.peers,
		Prober:        c.peers,
		Peers:         c.members,
		Random:        newRandom(),
		Log:           c.log,
	})
	return c, nil
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

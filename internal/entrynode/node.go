package entrynode

import (
	"cmp"
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/backhttp"
	"peridotmoor.org/peridotmoor/internal/callerhttp"
	"peridotmoor.org/peridotmoor/internal/connbound"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/gateway"
	"peridotmoor.org/peridotmoor/internal/holder"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/platform"
)

// Node is one instance.
type Node struct {
	config       Config
	log          *events.Logger
	facts        *facts.Registry
	elector      *holder.Elector
	backends     *platform.BackendClient
	callerServer *callerhttp.Server
	gateway      *gateway.Gateway
	metrics      *metrics
	// traffic counts what this instance sends to its followers.
	traffic link.Traffic
	// descriptors bounds the connections of the listeners.
	descriptors descriptorBudget
	startedAt   time.Time
	ready       atomic.Bool
	stopping    atomic.Bool
}

// New builds an instance that writes its log to out.
func New(config Config, out io.Writer) *Node {
	log := events.NewRateLimitedLogger(out, logLinesPerSecond, "instance", config.Name, "domain", config.Domain)
	self := holder.Identity{Name: config.Name, Incarnation: rand.Text()[:8], Address: config.PeerAddress, Domain: config.Domain}
	store := platform.NewStoreClient(config.StoreAddress)
	memory := newMemoryAccount(config.Memory, log)
	n := &Node{config: config, log: log, backends: &platform.BackendClient{Memory: memory}, startedAt: time.Now()}
	descriptors := config.Descriptors
	if descriptors == 0 {
		descriptors = processDescriptors()
	}
	n.descriptors = newDescriptorBudget(descriptors)
	n.facts = facts.NewRegistry(platform.DecodeConfig, log)
	reader := facts.NewReader(platform.StoreSource{Store: store}, n.facts, log)
	schedulerClient := gateway.NewSchedulerClient(self.String(), config.Domain, n.facts, n.backends)
	n.backends.OnSignal = schedulerClient.ObserveSignal
	n.backends.Deliveries.OnCut = func(c backhttp.Cut) {
		log.Emit(events.RequestCut, "request", c.RequestID, "server", c.Address, "bytes", c.Bytes, "detail", c.Cause.Error())
	}
	n.metrics = newMetrics(
		func() float64 { return float64(store.Calls()) },
		func() float64 { return float64(store.Era()) },
		func() float64 { return float64(store.EarlierAnswers()) },
		func() float64 { return float64(n.callerServer.OpenConnections()) },
		func() holder.Status { return n.elector.Status(time.Now()) }, memory)
	n.elector = holder.NewElector(holder.Options{
		Self: self, Store: store, Registry: n.facts, Reader: reader, OrderSender: n.backends, Prober: n.backends, Client: schedulerClient, Log: log,
		RetryBudget: placing.RetryBudget{Window: config.RetryWindow, Ratio: config.RetryRatio, Extra: config.RetryExtra, HedgeShare: config.HedgeShare},
		FirstStart:  config.FirstStart, ProcessorShare: config.ProcessorShare, OnOrderWritten: n.metrics.orderWritten,
		OnEventDelay: n.metrics.eventDelayed,
	})
	n.metrics.registry.MustRegister(newFleetCollector(n.elector.Load, n.elector.Joins, &n.traffic), newDeliveryCollector(&n.backends.Deliveries))
	n.gateway = gateway.New(gateway.Options{
		Domain: config.Domain, Registry: n.facts, Scheduler: schedulerClient, Backends: n.backends,
		Refresher:        facts.NewOnDemand(reader, n.elector.ReadBackoff(), n.elector.ShareReading),
		DomainsRefresher: facts.NewDomainsOnDemand(reader, n.elector.ReadBackoff()), DomainOutLimit: cmp.Or(config.DomainOutLimit, defaultDomainOutLimit),
		Prober: n.backends, Metrics: n.metrics, Log: log,
		HedgeShare: config.HedgeShare, HedgeMetrics: n.metrics.hedges,
	})
	reportWriteError := func(id string, err error) { log.Emit(events.CallUnwritten, "request", id, "detail", err.Error()) }
	n.callerServer = callerhttp.NewServer(platform.CallerHandler{Gateway: n.gateway, OnWriteError: reportWriteError}, n.callerLimits)
	n.callerServer.Memory = memory
	n.callerServer.MaxConnections = n.descriptors.callers
	n.callerServer.OnCloseForOthers = n.reportClosed("callers")
	n.callerServer.OnUntaken = func(u callerhttp.Untaken) {
		log.Emit(events.ResponsesUntaken, "bytes", u.Bytes, "waited_ms", u.Waited.Milliseconds())
	}
	log.Emit(events.InstanceStarted, "callers", config.CallerAddress, "peers", config.PeerAddress, "incarnation", self.Incarnation)
	return n
}

func (n *Node) callerLimits() callerhttp.Limits {
	config := n.facts.Snapshot().Config
	if config == nil {
		return callerhttp.Limits{}
	}
	return callerhttp.Limits{
		HeaderBytes:   config.Limits.HeaderBytes,
		HeaderTimeout: config.Limits.HeaderTimeout,
		IdleTimeout:   config.Limits.IdleTimeout,
	}
}

// Run serves until stop is done, then makes a planned stop.
func (n *Node) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer n.log.Close()
	peers, err := link.Listen(ctx, n.config.PeerAddress)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp4", n.config.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for callers; check that the address is free")
	}
	if err := n.serveHTTP("ready", n.config.ReadinessAddress, n.descriptors.readiness, platform.ReadinessHandler(n.isReady)); err != nil {
		return err
	}
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", n.metrics.handler())
	metrics.Handle("/explain", explainHandler{instance: n.config.Name, gateway: n.gateway, holderName: n.elector.HolderName}).Methods(http.MethodGet)
	if err := n.serveHTTP("metrics", n.config.MetricsAddress, n.descriptors.metrics, metrics); err != nil {
		return err
	}
	peers = connbound.Bound(peers, n.descriptors.peers, n.reportClosed("peers"))
	failed := make(chan error, 2)
	go func() { failed <- link.NewServer(n.elector).CountIn(&n.traffic).Serve(ctx, peers) }()
	electorContext, stopElector := context.WithCancel(ctx)
	r := services{callers: callers, callersDone: make(chan struct{}), stopElector: stopElector, electorDone: make(chan struct{})}
	go func() {
		defer close(r.callersDone)
		failed <- n.callerServer.Serve(callers)
	}()
	go func() {
		defer close(r.electorDone)
		n.elector.Run(electorContext)
	}()
	go n.closeRemovedServers(ctx)
	go n.logTeams(ctx)
	select {
	case <-stop.Done():
	case err := <-failed:
		stopElector()
		return err
	}
	n.stop(r)
	return nil
}

// reportClosed returns a function that logs that a connection of the listener was closed in
// favour of a new one.
func (n *Node) reportClosed(listener string) func() {
	return func() { n.log.Emit(events.ConnectionClosedForOthers, "listener", listener) }
}

// serveHTTP starts an HTTP server for handler at address, with a bound on its connections.
func (n *Node) serveHTTP(name, address string, connections int, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s; check that the address is free", address)
	}
	listener = connbound.Bound(listener, connections, n.reportClosed(name))
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerReadTimeout, ReadTimeout: headerReadTimeout,
		WriteTimeout: pageWriteTimeout, IdleTimeout: pageIdleTimeout, MaxHeaderBytes: pageHeaderBytes,
	}
	go func() {
		if err := server.Serve(listener); err != nil {
			n.log.Emit(events.CallUnwritten, "detail", err.Error())
		}
	}()
	return nil
}

// closeRemovedServers closes the connections to backend servers that are no longer
// listed, whenever the listing changes.
func (n *Node) closeRemovedServers(ctx context.Context) {
	sequence := uint64(0)
	for {
		changed := n.facts.Changed()
		if snapshot := n.facts.Snapshot(); snapshot.ListingSequence != sequence {
			sequence = snapshot.ListingSequence
			n.backends.CloseAllExcept(snapshot.Servers)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// isReady reports whether the load balancer may send callers to this instance.
func (n *Node) isReady() bool {
	if n.stopping.Load() {
		return false
	}
	if n.ready.Load() {
		return true
	}
	snapshot := n.facts.Snapshot()
	if snapshot.Complete() || snapshot.Config != nil && time.Since(n.startedAt) > maxReadinessDelay {
		n.ready.Store(true)
		n.log.Emit(events.CallerReady)
		return true
	}
	return false
}

// Reload reads the settings file again and logs whether it is valid. It applies
// nothing: the settings take effect at the next start, and everything that can
// change while the instance runs comes from the store.
func (n *Node) Reload(path string) {
	if _, err := Load(path); err != nil {
		n.log.Emit(events.SettingsReloadFailed, "detail", err.Error())
		return
	}
	n.log.Emit(events.SettingsReloaded)
}

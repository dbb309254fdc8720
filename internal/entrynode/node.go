package entrynode

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/callerhttp"
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
	config   Config
	log      *events.Logger
	board    *facts.Board
	campaign *holder.Campaign
	backends *platform.Backends
	callers  *callerhttp.Server
	gateway  *gateway.Gateway
	metrics  *metrics
	started  time.Time
	ready    atomic.Bool
	stopping atomic.Bool
}

// New builds an instance that writes its log to out.
func New(config Config, out io.Writer) *Node {
	log := events.NewBoundedLogger(out, linesPerSecond, "instance", config.Name, "domain", config.Domain)
	self := holder.Identity{Name: config.Name, Incarnation: rand.Text()[:8], Address: config.Peers, Domain: config.Domain}
	store := platform.NewStoreClient(config.Store)
	n := &Node{config: config, log: log, backends: &platform.Backends{}, started: time.Now()}
	n.board = facts.NewBoard(platform.DecodeConfig, log)
	reader := facts.NewReader(platform.Source{Store: store}, n.board, log)
	desk := gateway.NewSchedulerClient(self.String(), config.Domain, n.board, n.backends)
	n.campaign = holder.NewCampaign(holder.Options{
		Self: self, Store: store, Board: n.board, Reader: reader, Granter: n.backends, Prober: n.backends, Desk: desk, Log: log,
		Budget: placing.RetryBudget{Window: config.RetryWindow, Ratio: config.RetryRatio, Extra: config.RetryExtra},
		First:  config.FirstStart, Processor: config.ProcessorShare,
	})
	n.metrics = newMetrics(
		func() float64 { return float64(store.Calls()) },
		func() float64 { return float64(n.callers.Open()) })
	n.gateway = gateway.New(config.Domain, n.board, desk, n.backends, n.metrics, log)
	unwritten := func(id string, err error) { log.Emit(events.CallUnwritten, "request", id, "detail", err.Error()) }
	n.callers = callerhttp.NewServer(platform.Callers{Gateway: n.gateway, Unwritten: unwritten}, n.limits)
	log.Emit(events.Started, "callers", config.Callers, "peers", config.Peers, "incarnation", self.Incarnation)
	return n
}

func (n *Node) limits() callerhttp.Limits {
	config := n.board.View().Config
	if config == nil {
		return callerhttp.Limits{}
	}
	return callerhttp.Limits{
		HeaderBytes:   config.Limits.HeaderBytes,
		HeaderTimeout: config.Limits.HeaderTimeout,
		IdleTimeout:   config.Limits.IdleTimeout,
	}
}

// Run serves until stop ends, then makes a planned stop.
func (n *Node) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer n.log.Close()
	peers, err := link.Listen(ctx, n.config.Peers)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp4", n.config.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers; the address must be free")
	}
	if err := n.serveHTTP(n.config.Ready, platform.ReadyHandler(n.isReady)); err != nil {
		return err
	}
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", n.metrics.handler())
	if err := n.serveHTTP(n.config.Metrics, metrics); err != nil {
		return err
	}
	failed := make(chan error, 2)
	go func() { failed <- link.NewServer(n.campaign).Serve(ctx, peers) }()
	go func() { failed <- n.callers.Serve(callers) }()
	campaign, endCampaign := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.campaign.Run(campaign)
	}()
	go n.followBoard(ctx)
	select {
	case <-stop.Done():
	case err := <-failed:
		endCampaign()
		return err
	}
	n.stop(callers, endCampaign, ended)
	return nil
}

// serveHTTP serves a small interface of its own.
func (n *Node) serveHTTP(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s; the address must be free", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: metricsTimeout}
	go func() {
		if err := server.Serve(listener); err != nil {
			n.log.Emit(events.CallUnwritten, "detail", err.Error())
		}
	}()
	return nil
}

// followBoard ends connections to servers that are gone.
func (n *Node) followBoard(ctx context.Context) {
	sequence := uint64(0)
	for {
		changed := n.board.Changed()
		if view := n.board.View(); view.ListingSequence != sequence {
			sequence = view.ListingSequence
			n.backends.Keep(view.Servers)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// isReady reports whether the balancer may send callers.
func (n *Node) isReady() bool {
	if n.stopping.Load() {
		return false
	}
	if n.ready.Load() {
		return true
	}
	view := n.board.View()
	if view.Complete() || view.Config != nil && time.Since(n.started) > readyAfter {
		n.ready.Store(true)
		n.log.Emit(events.Ready)
		return true
	}
	return false
}

// stop ends the instance without cutting a request: the balancer is told first,
// then each answer ends its connection, then unused connections are closed.
func (n *Node) stop(callers net.Listener, endCampaign func(), ended <-chan struct{}) {
	n.log.Emit(events.Stopping)
	began := time.Now()
	n.stopping.Store(true)
	n.callers.Stop()
	endCampaign()
	deadline := began.Add(n.config.Grace - stopReserve)
	time.Sleep(time.Until(began.Add(stopNotice)))
	for n.callers.Open() > 0 && time.Now().Before(deadline) {
		if time.Until(deadline) < stopRefuse {
			n.gateway.StopAccepting()
		}
		n.callers.CloseIdle()
		time.Sleep(stopPoll)
	}
	_ = callers.Close() // the process ends; the kernel would close it
	<-ended
	n.log.Emit(events.Stopped)
}

// Reload checks the settings file again. Addresses and names are in force until
// the next start; what could change otherwise comes from the store.
func (n *Node) Reload(path string) {
	if _, err := Load(path); err != nil {
		n.log.Emit(events.ReloadFailed, "detail", err.Error())
		return
	}
	n.log.Emit(events.Reloaded)
}

package router

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/entry"
	"peridotmoor.org/peridotmoor/internal/events"
)

const (
	// headerTimeout limits the time in which a client must send its headers.
	headerTimeout = 10 * time.Second
	// idleConnTimeout closes connections of callers that carry no request.
	idleConnTimeout = 2 * time.Minute
)

// Run serves requests until ctx is cancelled, then performs a planned stop. It returns
// an error if an endpoint fails.
func (i *Instance) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var running sync.WaitGroup
	callers := i.callersServer()
	operators := i.operatorsServer()
	endpointErrors := i.startEndpoints(work, &running, callers, operators)
	stopRunner := i.startRunner(work)
	i.startFollowers(work, &running)
	i.components.log.Emit(events.InstanceStarted, "callers", i.listeners.callers.Addr().String(), "peers", i.components.self.Address,
		"operators", i.listeners.operators.Addr().String(), "incarnation", i.components.self.Instance.Incarnation)
	err := i.wait(ctx, endpointErrors)
	i.plannedStop(callers)
	_ = operators.Close()
	stopRunner()
	stopWork()
	running.Wait()
	i.background.Wait()
	i.close()
	return err
}

// startEndpoints serves the three endpoints. The result of each is sent to the
// returned channel.
func (i *Instance) startEndpoints(work context.Context, running *sync.WaitGroup, callers, operators *http.Server) <-chan error {
	endpointErrors := make(chan error, 3)
	running.Go(func() { endpointErrors <- errors.Wrap(i.server.Serve(work, i.listeners.peers), "serve peers") })
	running.Go(func() { endpointErrors <- serve(callers, i.listeners.callers, "serve callers") })
	running.Go(func() { endpointErrors <- serve(operators, i.listeners.operators, "serve operators") })
	return endpointErrors
}

// startRunner runs the authority runner. The returned function stops it and waits until
// it has stopped. It must be called before the peer endpoint closes, because other
// instances take a refused connection as proof that this process makes no more promises.
func (i *Instance) startRunner(work context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(work)
	var running sync.WaitGroup
	running.Go(func() { i.components.runner.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// startFollowers starts the goroutines that track the other instances, and those that
// exchange and apply settings, shard holders, quarantine marks and hand-over advice.
func (i *Instance) startFollowers(work context.Context, running *sync.WaitGroup) {
	marks := &quarantineExchange{list: i.components.quarantine, publisher: i.components.publisher}
	running.Go(func() { i.components.members.Run(work) })
	running.Go(func() { i.components.publisher.Run(work) })
	running.Go(func() { marks.run(work) })
	running.Go(func() { i.followSettings(work) })
	running.Go(func() { i.followHolders(work) })
	running.Go(func() { i.followHandOverAdvice(work) })
}

// wait returns when ctx is cancelled or an endpoint fails.
func (i *Instance) wait(ctx context.Context, endpointErrors <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-endpointErrors:
		return err
	}
}

func (i *Instance) operatorsServer() *http.Server {
	handler := operatorsHandler(i.readiness.err, i.status, i.components.metrics.Handler())
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
}

func (i *Instance) callersServer() *http.Server {
	view := &settingsView{publisher: i.components.publisher, domain: i.components.self.Domain}
	handler := entry.New(i.config.Instance.Name, view, i.forwarder, i.observer, i.readiness.refusal)
	return &http.Server{
		Handler:           i.closeWhenStopping(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleConnTimeout,
	}
}

// closeWhenStopping closes a caller's connection after its response during a planned
// stop, so that no new request is in transit when idle connections are closed.
func (i *Instance) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.readiness.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

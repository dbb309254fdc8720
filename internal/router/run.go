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
	// headerTimeout bounds the time a caller takes to send its headers.
	headerTimeout = 10 * time.Second
	// idleConnTimeout closes callers' connections that carry no request.
	idleConnTimeout = 2 * time.Minute
)

// Run serves until ctx ends, then does a planned stop. It returns an error when
// an endpoint fails.
func (i *Instance) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var running sync.WaitGroup
	callers := i.callersServer()
	operators := i.operatorsServer()
	endpointErrors := i.startEndpoints(work, &running, callers, operators)
	stopKeeper := i.startKeeper(work)
	i.startFollowers(work, &running)
	i.components.log.Emit(events.InstanceStarted, "callers", i.listeners.callers.Addr().String(), "peers", i.components.self.Address,
		"operators", i.listeners.operators.Addr().String(), "incarnation", i.components.self.Instance.Incarnation)
	err := i.wait(ctx, endpointErrors)
	i.plannedStop(callers)
	_ = operators.Close()
	stopKeeper()
	stopWork()
	running.Wait()
	i.background.Wait()
	i.close()
	return err
}

// startEndpoints serves the three endpoints. The channel gets an error when one fails.
func (i *Instance) startEndpoints(work context.Context, running *sync.WaitGroup, callers, operators *http.Server) <-chan error {
	endpointErrors := make(chan error, 3)
	running.Go(func() { endpointErrors <- errors.Wrap(i.server.Serve(work, i.listeners.peers), "serve peers") })
	running.Go(func() { endpointErrors <- serve(callers, i.listeners.callers, "serve callers") })
	running.Go(func() { endpointErrors <- serve(operators, i.listeners.operators, "serve operators") })
	return endpointErrors
}

// startKeeper runs the keeper. The returned function ends it and waits; call it
// before the peer endpoint closes, because a refused connection proves that this
// process makes no promises any more.
func (i *Instance) startKeeper(work context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(work)
	var running sync.WaitGroup
	running.Go(func() { i.components.keeper.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// startFollowers runs what follows the settings, the other instances and their news.
func (i *Instance) startFollowers(work context.Context, running *sync.WaitGroup) {
	marks := &quarantineExchange{list: i.components.quarantine, publisher: i.components.publisher}
	running.Go(func() { i.components.members.Run(work) })
	running.Go(func() { i.components.publisher.Run(work) })
	running.Go(func() { marks.run(work) })
	running.Go(func() { i.followSettings(work) })
	running.Go(func() { i.followHolders(work) })
	running.Go(func() { i.followHandOverAdvice(work) })
}

// wait returns when ctx ends or an endpoint fails.
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
	views := &settingsView{publisher: i.components.publisher, domain: i.components.self.Domain}
	handler := entry.New(i.config.Instance.Name, views, i.forwarder, i.observer, i.readiness.refusal)
	return &http.Server{
		Handler:           i.closeWhenStopping(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleConnTimeout,
	}
}

// closeWhenStopping ends a caller's connection with its answer during a planned
// stop, so that no request is on its way when idle connections are closed.
func (i *Instance) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.readiness.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

package router

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/entry"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/forward"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/settings"
)

const (
	// headerTimeout bounds the time a caller takes to send its headers.
	headerTimeout = 10 * time.Second
	// idleConnTimeout closes callers' connections that carry no request.
	idleConnTimeout = 2 * time.Minute
	// settleDelay gives the balancer time to notice that the instance is not ready.
	settleDelay = 2 * time.Second
	// stopTimeout bounds a planned stop after the hand-over.
	stopTimeout = 30 * time.Second
)

// Run serves until ctx ends, then does a planned stop. It returns an error when
// an endpoint fails.
func (i *Instance) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var running sync.WaitGroup
	failed := make(chan error, 3)
	callers := i.callersServer()
	operators := &http.Server{Handler: operatorsHandler(i.readiness.err, i.status, i.parts.metrics.Handler()), ReadHeaderTimeout: headerTimeout}
	running.Go(func() { failed <- errors.Wrap(i.server.Serve(work, i.listeners.peers), "serve peers") })
	running.Go(func() { failed <- serve(callers, i.listeners.callers, "serve callers") })
	running.Go(func() { failed <- serve(operators, i.listeners.operators, "serve operators") })
	running.Go(func() { i.parts.members.Run(work) })
	running.Go(func() { i.parts.publisher.Run(work) })
	// The keeper ends before the peer endpoint closes: a refused connection proves
	// that this process makes no promises any more.
	keeping, stopKeeping := context.WithCancel(work)
	defer stopKeeping()
	var promises sync.WaitGroup
	promises.Go(func() { i.parts.keeper.Run(keeping) })
	running.Go(func() { (&markExchange{list: i.parts.quarantine, publisher: i.parts.publisher}).run(work) })
	running.Go(func() { i.followSettings(work) })
	running.Go(func() { i.followHolders(work) })
	running.Go(func() { i.followAdvice(work) })
	i.parts.log.Emit(events.Started, "callers", i.listeners.callers.Addr().String(), "peers", i.parts.self.Address,
		"operators", i.listeners.operators.Addr().String(), "incarnation", i.parts.self.Instance.Incarnation)
	err := i.wait(ctx, failed)
	i.plannedStop(callers)
	_ = operators.Close()
	stopKeeping()
	promises.Wait()
	stopWork()
	running.Wait()
	i.leaving.Wait()
	i.close()
	return err
}

// wait returns when ctx ends or an endpoint fails.
func (i *Instance) wait(ctx context.Context, failed <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

func (i *Instance) callersServer() *http.Server {
	views := &treeViews{publisher: i.parts.publisher, domain: i.parts.self.Domain}
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

// followSettings applies each version of the settings that comes into effect.
func (i *Instance) followSettings(ctx context.Context) {
	var first sync.Once
	for {
		changed := i.parts.publisher.SettingsChanged()
		if installed := i.parts.publisher.Settings(); installed != nil {
			i.apply(ctx, installed.Tree)
			i.followDomain(ctx, installed.Tree)
			i.parts.log.Emit(events.SettingsApplied, events.FieldVersion, installed.Version.Number)
			first.Do(func() { i.leaving.Go(func() { i.becomeReady(ctx) }) })
		}
		select {
		case <-changed:
		case <-ctx.Done():
			i.shards.end()
			return
		}
	}
}

func (i *Instance) apply(ctx context.Context, tree *settings.Tree) {
	i.shards.apply(ctx, tree)
	control := tree.Control()
	// The calls only queue; they fail when the keeper has stopped.
	i.parts.quarantine.SetDuration(control.QuarantineTime)
	_ = i.parts.keeper.SetTiming(ctx, control.PromiseTTL, control.RenewInterval)
	_ = i.parts.keeper.SetShards(ctx, descriptionsOf(tree))
	_ = i.parts.keeper.SetRetired(ctx, tree.RetiredInstances())
}

// followDomain takes the instance off the balancer while its failure domain is
// out, and hands its shards over; requests that still arrive are served.
func (i *Instance) followDomain(ctx context.Context, tree *settings.Tree) {
	domain, known := tree.Domain(i.parts.self.Domain)
	out := known && domain.Out
	if was := i.readiness.out.Swap(out); out && !was {
		i.leaving.Go(func() { i.shards.handOverAll(ctx) })
	}
}

// descriptionsOf lists the shards with the failure domains of their home regions.
func descriptionsOf(tree *settings.Tree) []authority.Description {
	var list []authority.Description
	for _, name := range tree.Services() {
		service, _ := tree.Service(name)
		for index := range service.Shards {
			d := authority.Description{ID: key.ShardID{Service: name, Index: index}, HomeRegion: tree.HomeRegion(name, index)}
			for _, domain := range tree.Domains() {
				if domain.Region == d.HomeRegion && !domain.Out {
					d.Domains = append(d.Domains, domain.Name)
				}
			}
			list = append(list, d)
		}
	}
	return list
}

// followHolders rebuilds the table that requests read at each change.
func (i *Instance) followHolders(ctx context.Context) {
	for {
		changed := i.parts.publisher.ShardsChanged()
		i.holders.replace(i.currentHolders())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (i *Instance) currentHolders() map[key.ShardID]*forward.Holder {
	holders := map[key.ShardID]*forward.Holder{}
	for _, e := range i.parts.publisher.Shards().Entries() {
		holders[e.Shard] = &forward.Holder{Instance: e.Holder, Address: e.Address, Token: e.Token}
	}
	return holders
}

// followAdvice hands shards over to their preferred holders, one at a time.
func (i *Instance) followAdvice(ctx context.Context) {
	for {
		select {
		case advice := <-i.parts.keeper.HandOvers():
			if unit := i.shards.get(advice.Shard); unit != nil {
				unit.handOver(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// plannedStop leaves the balancer, hands the shards over and ends the requests
// that are in flight.
func (i *Instance) plannedStop(callers *http.Server) {
	i.parts.log.Emit(events.Stopping)
	i.readiness.stopping.Store(true)
	i.parts.publisher.SetLeaving()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = i.parts.keeper.Leave(ctx)
	settled := time.NewTimer(settleDelay)
	defer settled.Stop()
	i.shards.handOverAll(ctx)
	<-settled.C
	// Requests that outlast the timeout are cut off and said so in the records.
	if err := callers.Shutdown(ctx); err != nil {
		i.parts.log.Emit(events.StopCutOff, "in_flight", i.forwarder.InFlight())
		_ = callers.Close()
	}
	i.shards.drainAll(ctx)
	i.parts.reports.Wait()
}

func (i *Instance) close() {
	i.parts.mirror.Close()
	_ = i.pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = i.parts.tracer.Close(ctx)
	i.parts.log.Emit(events.Stopped)
	i.parts.log.Close()
	i.outputs.close()
}

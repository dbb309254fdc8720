package demo

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
)

// callerConnections limits the connections of the callers to one instance.
const callerConnections = 256

// load sends the requests and runs the planned events meanwhile. A failed event ends the load.
func (d *demo) load(ctx context.Context) (loadResult, error) {
	var entries []*callers.EntryInstance
	for _, i := range d.instances {
		entries = append(entries, &callers.EntryInstance{CallerAddress: i.CallerAddress, OperatorAddress: i.OperatorAddress})
	}
	balancer := callers.NewBalancer(entries)
	defer balancer.Close()
	sender := callers.NewClient(callerConnections)
	defer sender.Close()
	probed := probe()
	load := callers.Load{Kinds: DefaultRequestMix(), Rate: d.options.Rate, Count: d.options.Count, Seed: d.options.Seed,
		Probe: &probed, ProbeInterval: probeInterval}
	d.printProgress("sending %d requests in %s", load.Count, d.options.loadTime())
	result := loadResult{from: time.Now(), probe: probed, keys: load.ProbeKeys()}
	var events sync.WaitGroup
	var eventErr error
	ctx, cancel := context.WithCancelCause(ctx)
	events.Go(func() {
		if eventErr = d.runPlan(ctx, result.from); eventErr != nil {
			cancel(eventErr)
		}
	})
	result.records = load.Run(ctx, balancer, sender)
	result.to = time.Now()
	events.Wait()
	if eventErr == nil && ctx.Err() != nil {
		eventErr = errors.Wrap(ctx.Err(), "the load was cancelled")
	}
	cancel(nil)
	d.printProgress("the load has ended")
	return result, eventErr
}

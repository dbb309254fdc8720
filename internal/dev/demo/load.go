package demo

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/callers"
)

// callerConnections bounds the connections of the callers to one instance.
const callerConnections = 256

// load sends the requests while the planned failures happen.
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
	var failures sync.WaitGroup
	var failed error
	ctx, cancel := context.WithCancelCause(ctx)
	failures.Go(func() {
		if failed = d.runPlan(ctx, result.from); failed != nil {
			cancel(failed)
		}
	})
	result.records = load.Run(ctx, balancer, sender)
	result.to = time.Now()
	failures.Wait()
	if failed == nil && ctx.Err() != nil {
		failed = errors.Wrap(ctx.Err(), "the load was cut off")
	}
	cancel(nil)
	d.printProgress("the load has ended")
	return result, failed
}

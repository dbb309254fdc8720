package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/authority/runner"
	"peridotmoor.org/peridotmoor/internal/dispatch"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/record"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/shard"
	"peridotmoor.org/peridotmoor/internal/shardrecord"
)

const (
	// recordSweepInterval is the time between two removals of expired request records.
	recordSweepInterval = time.Second
	// assignmentInterval is the mean time between two reads of the committed
	// assignment by a witness that does not hold the shard.
	assignmentInterval = 10 * time.Second
)

// localShard is one shard of the settings in this instance, whether or not the instance
// holds it. The runtime exists always, the dispatcher and the request records only
// while the instance holds the shard.
type localShard struct {
	id            key.ShardID
	components    *components
	service       *serviceState
	source        *runner.Source
	tenureChanges *tenureBroadcaster
	config        *shard.ConfigSource
	assignments   *assignmentStore
	runtime       *shard.Runtime
	// serving is read by requests and written by run.
	serving atomic.Pointer[servingTenure]
	// inherited holds the slots that requests of the previous holder still use after a
	// hand-over.
	inherited atomic.Pointer[inheritedSlots]
	inFlight  atomic.Int64
	// reportSequence numbers the reports that this instance sends to the next holders
	// of the shard.
	reportSequence atomic.Uint64
	// draining is set while the shard is handed over or released: new requests are
	// refused with not-holder.
	draining atomic.Bool
	// idle is signalled when the last request in flight has ended.
	idle    chan struct{}
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newLocalShard(c *components, id key.ShardID, interval key.Range, service *serviceState, config *shard.Config) *localShard {
	source := c.runner.Source(id)
	l := &localShard{
		id:            id,
		components:    c,
		service:       service,
		source:        source,
		tenureChanges: newTenureBroadcaster(source),
		config:        shard.NewConfigSource(config),
		idle:          make(chan struct{}, 1),
	}
	l.assignments = newAssignmentStore(shardrecord.NewHandle(c.store, id), source)
	l.runtime = shard.New(shard.Options{
		Shard:           id,
		Interval:        interval,
		Tenures:         l.tenureChanges,
		AssignmentStore: l.assignments,
		Config:          l.config,
		NewTarget:       l.newTarget,
		LimiterFor:      limiterFor,
		Random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:             c.log,
	})
	return l
}

// start runs the shard until stop is called.
func (l *localShard) start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	l.running.Go(func() { l.tenureChanges.run(ctx) })
	l.running.Go(func() { l.runtime.Run(ctx) })
	l.running.Go(func() { l.run(ctx) })
}

// stop stops the shard and waits for its goroutines.
func (l *localShard) stop() {
	l.cancel()
	l.running.Wait()
}

// run opens the request records at the start of each tenure and closes them at its end.
func (l *localShard) run(ctx context.Context) {
	sweep := time.NewTicker(recordSweepInterval)
	defer sweep.Stop()
	refresh := time.NewTimer(assignmentInterval)
	defer refresh.Stop()
	defer l.closeServing()
	// Caches the assignment, so that a witness can take the shard over while the store
	// is unreachable.
	l.refreshAssignment(ctx)
	for {
		l.applyTenure(ctx, l.source.Tenure())
		select {
		case <-ctx.Done():
			return
		case <-l.tenureChanges.shardChanged:
		case <-refresh.C:
			l.refreshIfWitness(ctx)
			refresh.Reset(assignmentInterval/2 + rand.N(assignmentInterval))
		case now := <-sweep.C:
			if serving := l.serving.Load(); serving != nil {
				serving.records.Expire(now)
			}
		}
	}
}

// applyTenure starts or stops serving requests as the tenure of this instance changes,
// and updates the candidates for mirrors.
func (l *localShard) applyTenure(ctx context.Context, tenure *authority.Tenure) {
	serving := l.serving.Load()
	if tenure == nil {
		l.closeServing()
		return
	}
	if serving == nil || !serving.since.Equal(tenure.Since) {
		l.closeServing()
		serving = l.openServing(ctx, tenure)
		l.draining.Store(false)
		l.serving.Store(serving)
		l.components.publishClaim(l.id, tenure)
	}
	serving.records.SetToken(tenure.Token)
	candidates := mirrorCandidates(l.source.Config(), l.components.self, l.components.members.View().ReachableMembers())
	serving.records.SetCandidates(moveToFront(candidates, serving.records.Source()))
}

func (l *localShard) openServing(ctx context.Context, tenure *authority.Tenure) *servingTenure {
	records := record.Open(ctx, record.ReplicatedTableOptions{
		Shard:        l.id,
		Token:        tenure.Token,
		Self:         tenure.Holder,
		MirrorClient: l.components.mirrorClient,
		MirrorSets:   &mirrorSetConsensus{shard: l.id, runner: l.components.runner, source: l.source},
		Events:       l.components.log,
		// At generation 0 no witness of any epoch has accepted a mirror set, so no
		// non-idempotent request of the shard has ever been dispatched.
		FirstTenure: tenure.Mirrors.Generation == 0,
		Options:     l.components.recordOptions(l.id.Service),
	})
	return &servingTenure{
		since:   tenure.Since,
		records: records,
		dispatcher: dispatch.New(dispatch.Options{
			Self:        tenure.Holder,
			Views:       l.runtime.Views(),
			Records:     records,
			Quarantine:  l.components.quarantine,
			RetryBudget: l.service.retryBudget,
			HedgeDelay:  &l.service.hedgeDelay,
			Limits:      &l.service.limits,
			Priority:    l.components.priority,
			Events:      l.components.log,
		}),
	}
}

func (l *localShard) closeServing() {
	if serving := l.serving.Swap(nil); serving != nil {
		serving.records.Close()
	}
}

// holds reports whether this instance holds the shard and accepts requests for it.
func (l *localShard) holds() bool {
	return !l.draining.Load() && l.serving.Load() != nil && l.source.Tenure().ValidAt(time.Now(), 0)
}

// handle runs a request. It fails with not-holder if the instance does not hold the
// shard or is handing it over.
func (l *localShard) handle(ctx context.Context, r *request.Request) (*request.Response, error) {
	l.inFlight.Add(1)
	serving := l.serving.Load()
	if serving == nil || l.draining.Load() {
		l.requestEnded()
		return nil, notHolder(l.id)
	}
	l.runtime.Observe(r.KeyHash)
	response, err := serving.dispatcher.Handle(ctx, r)
	if err != nil {
		l.requestEnded()
		return nil, err
	}
	response.Body = &trackedBody{ReadCloser: response.Body, onClose: l.requestEnded}
	return response, nil
}

func (l *localShard) requestEnded() {
	if l.inFlight.Add(-1) == 0 {
		notify(l.idle)
	}
}

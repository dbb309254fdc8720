package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/authority/keeper"
	"peridotmoor.org/peridotmoor/internal/dispatch"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/record"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/shard"
	"peridotmoor.org/peridotmoor/internal/shardrecord"
)

const (
	// recordSweepInterval is the time between two removals of old request records.
	recordSweepInterval = time.Second
	// assignmentInterval is the mean time between two reads of the committed
	// assignment by an instance that does not hold the shard.
	assignmentInterval = 10 * time.Second
)

// unit is one shard of the settings in this instance: its runtime always, and a
// dispatcher with request records while the instance holds the shard.
type unit struct {
	id      key.ShardID
	parts   *parts
	service *serviceState
	source  *keeper.Source
	fan     *tenureFan
	config  *shard.ConfigSource
	commits *committer
	runtime *shard.Runtime
	// serving is read by requests and written by run.
	serving atomic.Pointer[servingTenure]
	// busy holds the slots that a handed-over shard's last holder still uses.
	busy     atomic.Pointer[busySlots]
	inFlight atomic.Int64
	// reports counts what this instance has told next holders of the shard.
	reports  atomic.Uint64
	stopping atomic.Bool
	idle     chan struct{}
	stop     context.CancelFunc
	running  sync.WaitGroup
}

func newUnit(p *parts, id key.ShardID, interval key.Range, service *serviceState, config *shard.Config) *unit {
	source := p.keeper.Source(id)
	u := &unit{
		id:      id,
		parts:   p,
		service: service,
		source:  source,
		fan:     newTenureFan(source),
		config:  shard.NewConfigSource(config),
		idle:    make(chan struct{}, 1),
	}
	u.commits = newCommitter(shardrecord.NewHandle(p.store, id), source)
	u.runtime = shard.New(shard.Options{
		Shard:           id,
		Interval:        interval,
		Tenures:         u.fan,
		AssignmentStore: u.commits,
		Config:          u.config,
		NewTarget:       u.newTarget,
		LimiterFor:      gateOf,
		Random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:             p.log,
	})
	return u
}

// start runs the unit until end is called.
func (u *unit) start(ctx context.Context) {
	ctx, u.stop = context.WithCancel(ctx)
	u.running.Go(func() { u.fan.run(ctx) })
	u.running.Go(func() { u.runtime.Run(ctx) })
	u.running.Go(func() { u.run(ctx) })
}

// end stops the unit and waits for its goroutines.
func (u *unit) end() {
	u.stop()
	u.running.Wait()
}

// run opens request records for each new tenure and closes them after it.
func (u *unit) run(ctx context.Context) {
	sweep := time.NewTicker(recordSweepInterval)
	defer sweep.Stop()
	refresh := time.NewTimer(assignmentInterval)
	defer refresh.Stop()
	defer u.closeServing()
	// A witness keeps a copy of the assignment for a takeover without the store.
	u.refreshAssignment(ctx)
	for {
		u.adopt(ctx, u.source.Tenure())
		select {
		case <-ctx.Done():
			return
		case <-u.fan.unit:
		case <-refresh.C:
			u.refreshIfWitness(ctx)
			refresh.Reset(assignmentInterval/2 + rand.N(assignmentInterval))
		case now := <-sweep.C:
			if serving := u.serving.Load(); serving != nil {
				serving.records.Expire(now)
			}
		}
	}
}

func (u *unit) adopt(ctx context.Context, tenure *authority.Tenure) {
	serving := u.serving.Load()
	if tenure == nil {
		u.closeServing()
		return
	}
	if serving == nil || !serving.since.Equal(tenure.Since) {
		u.closeServing()
		serving = u.openServing(ctx, tenure)
		u.stopping.Store(false)
		u.serving.Store(serving)
		u.parts.announce(u.id, tenure)
	}
	serving.records.SetToken(tenure.Token)
	candidates := mirrorCandidates(u.source.Config(), u.parts.self, u.parts.members.View().Contacts())
	serving.records.SetCandidates(firstOf(candidates, serving.records.Source()))
}

func (u *unit) openServing(ctx context.Context, tenure *authority.Tenure) *servingTenure {
	records := record.Open(ctx, record.ReplicatedTableOptions{
		Shard:        u.id,
		Token:        tenure.Token,
		Self:         tenure.Holder,
		MirrorClient: u.parts.copier,
		MirrorSets:   &mirrorSets{shard: u.id, keeper: u.parts.keeper, source: u.source},
		// No witness of any epoch has ever been told a mirror set, so no
		// non-idempotent request of the shard has been dispatched.
		Events:      u.parts.log,
		FirstTenure: tenure.Mirrors.Generation == 0,
		Options:     u.parts.recordOptions(u.id.Service),
	})
	return &servingTenure{
		since:   tenure.Since,
		records: records,
		dispatcher: dispatch.New(dispatch.Options{
			Self:        tenure.Holder,
			Views:       u.runtime.Views(),
			Records:     records,
			Quarantine:  u.parts.quarantine,
			RetryBudget: u.service.budget,
			HedgeDelay:  &u.service.delay,
			Limits:      &u.service.limits,
			Priority:    u.parts.priority,
			Events:      u.parts.log,
		}),
	}
}

func (u *unit) closeServing() {
	if serving := u.serving.Swap(nil); serving != nil {
		serving.records.Close()
	}
}

// holds reports whether the unit can run requests now.
func (u *unit) holds() bool {
	return !u.stopping.Load() && u.serving.Load() != nil && u.source.Tenure().ValidAt(time.Now(), 0)
}

// handle runs a request at the holder.
func (u *unit) handle(ctx context.Context, r *request.Request) (*request.Response, error) {
	u.inFlight.Add(1)
	serving := u.serving.Load()
	if serving == nil || u.stopping.Load() {
		u.leave()
		return nil, notHolder(u.id)
	}
	u.runtime.Observe(r.KeyHash)
	answer, err := serving.dispatcher.Handle(ctx, r)
	if err != nil {
		u.leave()
		return nil, err
	}
	answer.Body = &trackedBody{ReadCloser: answer.Body, ended: u.leave}
	return answer, nil
}

func (u *unit) leave() {
	if u.inFlight.Add(-1) == 0 {
		wake(u.idle)
	}
}

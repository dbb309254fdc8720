package runner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

const (
	// handOverQueueSize bounds the recommended hand-overs that wait for the
	// receiver. One that does not fit is dropped and recommended again later.
	handOverQueueSize = 64
	// maxStoreCalls limits concurrent calls to the store. A starting process
	// reads the records of all its shards.
	maxStoreCalls = 8
)

var (
	// ErrStopped means that the Runner has stopped and makes no more promises.
	ErrStopped = errors.New("keeper: stopped; ask another instance")
	// ErrNotHeld means that this instance does not hold the shard.
	ErrNotHeld = errors.New("keeper: this instance does not hold the shard; ask its holder")
)

// Runner runs the authority.Node of a process and performs its I/O. The
// goroutine in Run owns the node; all other methods may be called from any
// goroutine.
type Runner struct {
	options    Options
	node       *authority.Node
	inputs     chan func(now time.Time)
	stopped    chan struct{}
	sources    sync.Map // key.ShardID to *Source
	handOvers  chan authority.HandOver
	calls      sync.WaitGroup
	storeSlots chan struct{}

	// mirrorWaiters and pendingReplies are used by the goroutine in Run only.
	mirrorWaiters  map[key.ShardID][]mirrorWaiter
	pendingReplies []func()
}

// New returns a Runner, which does nothing until Run is called.
func New(options Options) *Runner {
	return &Runner{
		options:       options,
		node:          authority.NewNode(time.Now(), options.Self, options.Timing, options.Random),
		inputs:        make(chan func(now time.Time), 256),
		stopped:       make(chan struct{}),
		handOvers:     make(chan authority.HandOver, handOverQueueSize),
		storeSlots:    make(chan struct{}, maxStoreCalls),
		mirrorWaiters: map[key.ShardID][]mirrorWaiter{},
	}
}

// Run runs the node until ctx ends, then withdraws all tenures and waits for
// outstanding calls. The process must keep its peer endpoint open until Run has
// returned, so that its incarnation answers as long as it makes promises.
func (r *Runner) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case input := <-r.inputs:
			input(time.Now())
		case <-r.options.Peers.Changed():
			r.node.SetPeers(r.options.Peers.Peers())
		case <-timer.C:
		}
		now := time.Now()
		r.node.Tick(now)
		r.execute(ctx, r.node.TakeEffects())
		timer.Reset(r.node.NextTick(now).Sub(now))
	}
	r.shutDown()
}

func (r *Runner) shutDown() {
	close(r.stopped)
	r.sources.Range(func(_, value any) bool {
		value.(*Source).publish(nil)
		return true
	})
	r.calls.Wait()
}

// Source returns the Source of a shard, which is the same for each call.
func (r *Runner) Source(shard key.ShardID) *Source {
	if source, ok := r.sources.Load(shard); ok {
		return source.(*Source)
	}
	source, _ := r.sources.LoadOrStore(shard, newSource())
	return source.(*Source)
}

// HandOvers delivers recommendations to hand a held shard over to its preferred
// holder. The receiver finishes the work on the shard and calls Release.
func (r *Runner) HandOvers() <-chan authority.HandOver {
	return r.handOvers
}

// enqueue queues an input for the goroutine that owns the node.
func (r *Runner) enqueue(ctx context.Context, input func(now time.Time)) error {
	select {
	case r.inputs <- input:
		return nil
	case <-r.stopped:
		return ErrStopped
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the keeper")
	}
}

// query runs input in the goroutine that owns the node, and returns its result
// after the resulting effects have been executed.
func query[T any](ctx context.Context, r *Runner, input func(now time.Time) T) (T, error) {
	var none T
	result := make(chan T, 1)
	err := r.enqueue(ctx, func(now time.Time) {
		value := input(now)
		r.pendingReplies = append(r.pendingReplies, func() { result <- value })
	})
	if err != nil {
		return none, err
	}
	select {
	case value := <-result:
		return value, nil
	case <-r.stopped:
		return none, ErrStopped
	case <-ctx.Done():
		return none, errors.Wrap(ctx.Err(), "wait for the keeper")
	}
}

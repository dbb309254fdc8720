package shard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/grant"
	"peridotmoor.org/peridotmoor/internal/hotkey"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/route"
)

// Runtime does the work of the holder of one shard while this instance holds it. Run
// owns all fields but views, status and sampler.
type Runtime struct {
	options         Options
	views           atomic.Pointer[route.View]
	status          atomic.Pointer[Status]
	sampler         hotkey.Sampler
	quiesceRequests chan *quiesce
	revocations     chan *revocation
	// goroutines counts the goroutines that Run started.
	goroutines sync.WaitGroup
	// generation is that of the last view; it increases across all tenures.
	generation uint64
	// retiredGrants tracks grants of earlier tenures that may not have expired.
	retiredGrants []*grant.Tracker
}

func New(options Options) *Runtime {
	return &Runtime{options: options, quiesceRequests: make(chan *quiesce), revocations: make(chan *revocation)}
}

// Views returns the pointer for route.Acquire. It holds nil while this instance does not
// hold the shard.
func (r *Runtime) Views() *atomic.Pointer[route.View] {
	return &r.views
}

// Status returns the newest summary, at most about half a second old, or nil while this
// instance does not hold the shard.
func (r *Runtime) Status() *Status {
	return r.status.Load()
}

// Observe counts one request for h in the sketch of hot keys. It takes no lock and may
// be called from many goroutines.
func (r *Runtime) Observe(h key.Hash) {
	r.sampler.Observe(h)
}

// Run waits for a tenure, does the work of the holder while it lasts, and waits for the
// next one, until ctx is done. It returns when all goroutines that it started have
// ended.
func (r *Runtime) Run(ctx context.Context) {
	defer r.goroutines.Wait()
	for ctx.Err() == nil {
		now := time.Now()
		if tenure := r.options.Tenures.Tenure(); tenure.ValidAt(now, 0) {
			newCoordinator(ctx, r, tenure, now).run()
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.options.Tenures.Changed():
		}
	}
}

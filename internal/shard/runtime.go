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

// Runtime does the work of one shard while this instance holds it. Run owns all
// fields but views, status and sampler.
type Runtime struct {
	options    Options
	views      atomic.Pointer[route.View]
	status     atomic.Pointer[Status]
	sampler    hotkey.Sampler
	quiesces   chan *quiesce
	surrenders chan *surrender
	// senders counts the goroutines that Run started.
	senders sync.WaitGroup
	// generation is that of the last view; it rises through all terms.
	generation uint64
	// graves are the books of earlier terms with grants that may not have expired.
	graves []*grant.Tracker
}

// New returns a runtime that has not started.
func New(options Options) *Runtime {
	return &Runtime{options: options, quiesces: make(chan *quiesce), surrenders: make(chan *surrender)}
}

// Views returns the pointer that requests pass to route.Enter. It holds nil
// while this instance does not hold the shard.
func (r *Runtime) Views() *atomic.Pointer[route.View] {
	return &r.views
}

// Status returns the newest summary, at most about half a second old, or nil
// while this instance does not hold the shard.
func (r *Runtime) Status() *Status {
	return r.status.Load()
}

// Observe counts one request for h in the sketch of hot keys. It takes no lock
// and may be called from many goroutines.
func (r *Runtime) Observe(h key.Hash) {
	r.sampler.Observe(h)
}

// Run works until ctx is done: it waits for a tenure, does the holder's work
// while the tenure lasts, and waits for the next one. It returns when all
// goroutines that it started have ended.
func (r *Runtime) Run(ctx context.Context) {
	defer r.senders.Wait()
	for ctx.Err() == nil {
		now := time.Now()
		if tenure := r.options.Tenures.Tenure(); tenure.ValidAt(now, 0) {
			newTerm(ctx, r, tenure, now).run()
			continue
		}
		select {
		case <-ctx.Done():
		case <-r.options.Tenures.Changed():
		}
	}
}

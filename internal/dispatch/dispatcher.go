// Package dispatch runs one request at the holder of its shard: record, copies,
// admission, dispatch, retries and hedges, answer.
package dispatch

import (
	"context"
	"sync"
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
	// crashDetectors holds the *quarantine.Watch of each *route.Target that has failed.
	crashDetectors sync.Map
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{options: o.withDefaults()}
}

// Handle runs a request to its one outcome.
func (d *Dispatcher) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	ex := newExecution(d, r)
	d.options.RetryBudget.Request()
	if r.Idempotent {
		return ex.finish(ex.runToEnd(ctx))
	}
	return ex.runRecorded(ctx)
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

// checkTenure refuses a dispatch that the tenure does not cover any more. It
// reads the latest view, so that renewals count; a tenure that began later is
// another one, whose records may not include the request.
func (d *Dispatcher) checkTenure(e *route.Entry, t *route.Target, now time.Time) (*route.View, *problem.Problem) {
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

func (d *Dispatcher) crashDetector(t *route.Target) *quarantine.Watch {
	if detector, ok := d.crashDetectors.Load(t); ok {
		return detector.(*quarantine.Watch)
	}
	detector, _ := d.crashDetectors.LoadOrStore(t, quarantine.NewWatch())
	return detector.(*quarantine.Watch)
}

// beginRecord asks the records about a non-idempotent request.
func (d *Dispatcher) beginRecord(r *request.Request, now time.Time) record.Decision {
	if d.options.Records == nil {
		p := problem.New(problem.KindMirrorUnavailable, outcome.StageQueued, "no request records are kept for this shard")
		return record.Decision{Action: record.ActionRefuse, Problem: p}
	}
	return d.options.Records.Begin(r.Key, r.ID, r.Digest, now)
}

package router

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/forward"
	"peridotmoor.org/peridotmoor/internal/metrics"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/tracing"
)

// unlistedService replaces unknown service names in metrics, so that callers cannot add
// label values.
const unlistedService = "unlisted"

// entryObserver writes the log events, spans and metrics of callers' requests.
type entryObserver struct {
	log     *events.Logger
	tracer  *tracing.Tracer
	metrics *metrics.Requests
}

// Arrived implements entry.Observer.
func (o *entryObserver) Arrived(r *http.Request) context.Context {
	ctx, _ := o.tracer.Start(r.Context(), "entry", r.Header.Get("Traceparent"), attribute.String("http.request.method", r.Method))
	return ctx
}

// Refused implements entry.Observer.
func (o *entryObserver) Refused(ctx context.Context, r *request.Request, p *problem.Problem, duration time.Duration) {
	service := r.Service
	if p.Kind == problem.KindUnknownService || p.Kind == problem.KindMissingKey || p.Kind == problem.KindUnauthorized {
		service = unlistedService
	}
	o.end(ctx, events.RequestRefusedAtEntry, service, r, p.Outcome, p, duration)
}

// Completed implements entry.Observer.
func (o *entryObserver) Completed(ctx context.Context, r *request.Request, out outcome.Outcome, p *problem.Problem, duration time.Duration) {
	o.end(ctx, events.EntryEnded, r.Service, r, out, p, duration)
}

func (o *entryObserver) end(ctx context.Context, e events.Event, service string, r *request.Request, out outcome.Outcome, p *problem.Problem, duration time.Duration) {
	o.metrics.Ended(service, out, p, duration)
	fields := append(requestFields(r),
		events.FieldIdempotent, r.Idempotent,
		events.FieldAttempt, r.Attempt,
		events.FieldOutcome, string(out),
		events.FieldDuration, millis(duration))
	span := trace.SpanFromContext(ctx)
	span.SetAttributes(attribute.String("peridotmoor.request_id", r.ID), attribute.String("peridotmoor.outcome", string(out)))
	if p == nil {
		o.log.Emit(e, fields...)
		tracing.End(span, nil)
		return
	}
	o.log.Emit(e, append(fields, problemFields(p)...)...)
	tracing.End(span, p)
}

// Retried implements forward.Observer.
func (o *entryObserver) Retried(r *request.Request, holder *forward.Holder, p *problem.Problem) {
	o.metrics.ForwardRetried(p.Kind)
	fields := append(requestFields(r), events.FieldAttempt, r.Attempt, events.FieldHolder, holder.Instance.Name)
	o.log.Emit(events.RequestForwardedAgain, append(fields, problemFields(p)...)...)
}

// Ended implements forward.Observer. It does nothing: Completed writes the final outcome,
// because it also knows whether the caller got the complete response.
func (o *entryObserver) Ended(*request.Request, *request.Response, *problem.Problem, time.Duration) {}

func requestFields(r *request.Request) []any {
	return []any{
		events.FieldRequestID, r.ID,
		events.FieldService, r.Service,
		events.FieldKey, r.Key,
	}
}

func problemFields(p *problem.Problem) []any {
	return []any{
		events.FieldKind, string(p.Kind),
		events.FieldStage, int(p.Stage),
		events.FieldDetail, p.Detail(),
	}
}

// millis converts d to milliseconds with a resolution of 1 µs.
func millis(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

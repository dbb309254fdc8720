package tracing

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// traceParentHeader is the name of the W3C trace context header.
const traceParentHeader = "traceparent"

// Tracer starts spans. Without an exporter it only propagates the trace context.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	carrier  propagation.TraceContext
}

// New returns a tracer with the configuration.
func New(ctx context.Context, c Config) (*Tracer, error) {
	provider, err := newProvider(ctx, c)
	if err != nil {
		return nil, err
	}
	t := &Tracer{provider: provider}
	if provider == nil {
		t.tracer = noop.NewTracerProvider().Tracer("peridotmoor")
		return t, nil
	}
	t.tracer = provider.Tracer("peridotmoor")
	return t, nil
}

// Start starts a span. Its parent is the span in traceParent, from the previous hop, or
// the span of ctx if traceParent is empty.
func (t *Tracer) Start(ctx context.Context, name, traceParent string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	if traceParent != "" {
		ctx = t.carrier.Extract(ctx, propagation.MapCarrier{traceParentHeader: traceParent})
	}
	return t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
}

// TraceParent returns the traceparent for the next hop, or "" if ctx has no span.
func (t *Tracer) TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	t.carrier.Inject(ctx, carrier)
	return carrier[traceParentHeader]
}

// End ends the span and marks it as failed if err is not nil.
func End(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// Close exports the buffered spans and shuts the exporter down.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

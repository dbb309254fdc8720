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

// header is the name of the W3C trace context field.
const header = "traceparent"

// Tracer starts spans. A Tracer without an exporter carries the context on.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	carrier  propagation.TraceContext
}

// New returns a tracer for the configuration.
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

// Start begins a span under the traceparent of the previous hop, or under the
// span of ctx when traceParent is empty.
func (t *Tracer) Start(ctx context.Context, name, traceParent string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	if traceParent != "" {
		ctx = t.carrier.Extract(ctx, propagation.MapCarrier{header: traceParent})
	}
	return t.tracer.Start(ctx, name, trace.WithAttributes(attributes...))
}

// TraceParent returns the traceparent to hand to the next hop, or "".
func (t *Tracer) TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	t.carrier.Inject(ctx, carrier)
	return carrier[header]
}

// End ends the span and marks it as failed when err is not nil.
func End(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// Close exports what is buffered.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Package tracing starts one OpenTelemetry span per hop and propagates the trace context
// between hops as a W3C traceparent.
package tracing

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Config configures the export of spans. Without Endpoint and Output, the trace context
// is propagated but no span is recorded.
type Config struct {
	// Endpoint is the URL of an OTLP/HTTP collector.
	Endpoint string
	// Output receives spans as JSON lines if Endpoint is empty.
	Output io.Writer
	// Ratio is the fraction of new traces to record, from 0 to 1.
	Ratio float64
	// Instance is the name of this instance, an attribute of each span.
	Instance string
}

// newProvider returns a provider with the configured exporter, or nil if there is none.
func newProvider(ctx context.Context, c Config) (*sdktrace.TracerProvider, error) {
	exporter, err := newExporter(ctx, c)
	if err != nil || exporter == nil {
		return nil, err
	}
	return sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(c.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "peridotmoor-router"),
			attribute.String("service.instance.id", c.Instance),
		)),
	), nil
}

func newExporter(ctx context.Context, c Config) (sdktrace.SpanExporter, error) {
	switch {
	case c.Endpoint != "":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.Endpoint))
		return exporter, errors.Wrapf(err, "create the exporter for the trace collector at %s; correct [trace] endpoint", c.Endpoint)
	case c.Output != nil:
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(c.Output))
		return exporter, errors.Wrap(err, "create the trace exporter")
	default:
		return nil, nil
	}
}

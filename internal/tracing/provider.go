// Package tracing starts one span per hop with OpenTelemetry and carries the
// trace context between hops as a W3C traceparent.
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

// Config says where spans go. With neither endpoint nor output, spans are only
// carried on, not recorded.
type Config struct {
	// Endpoint is the URL of an OTLP/HTTP collector.
	Endpoint string
	// Output takes spans as JSON lines when there is no collector.
	Output io.Writer
	// Ratio is the share of new traces to record, 0 to 1.
	Ratio float64
	// Instance names the process in each span.
	Instance string
}

// newProvider returns a provider for the configured exporter, or nil without one.
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
		return exporter, errors.Wrapf(err, "open the trace collector at %s; correct [trace] endpoint", c.Endpoint)
	case c.Output != nil:
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(c.Output))
		return exporter, errors.Wrap(err, "open the trace output")
	default:
		return nil, nil
	}
}

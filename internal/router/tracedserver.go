package router

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"peridotmoor.org/peridotmoor/internal/admission"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/tracing"
)

// tracedServer creates a span for each dispatch to a backend server.
type tracedServer struct {
	backend.Server
	name    string
	tracer  *tracing.Tracer
	limiter *admission.Limiter
}

// Close also closes the limiter of the server, so that its goroutine does not leak. It
// does so with a delay: queued requests still get a slot, find that the shard has another
// holder and are forwarded to it. A closed limiter would refuse them.
func (s *tracedServer) Close() {
	time.AfterFunc(inheritedSlotsTimeout, s.limiter.Close)
	s.Server.Close()
}

// Send implements backend.Server.
func (s *tracedServer) Send(ctx context.Context, order backend.Order, r *request.Request) (*request.Response, error) {
	ctx, span := s.tracer.Start(ctx, "backend", "", attribute.String("peridotmoor.server", s.name))
	traced := *r
	traced.TraceParent = s.tracer.TraceParent(ctx)
	response, err := s.Server.Send(ctx, order, &traced)
	tracing.End(span, err)
	return response, err
}

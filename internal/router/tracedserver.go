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

// tracedServer adds a span to each dispatch to a backend server.
type tracedServer struct {
	backend.Server
	name   string
	tracer *tracing.Tracer
	gate   *admission.Limiter
}

// Close also ends the server's gate, so that its goroutine does not stay. The gate
// goes on for a while: requests that wait in it get a slot, find that the shard has
// another holder and go there, where a closed gate would refuse them.
func (s *tracedServer) Close() {
	time.AfterFunc(busyLimit, s.gate.Close)
	s.Server.Close()
}

// Send implements backend.Server.
func (s *tracedServer) Send(ctx context.Context, order backend.Order, r *request.Request) (*request.Response, error) {
	ctx, span := s.tracer.Start(ctx, "backend", "", attribute.String("peridotmoor.server", s.name))
	traced := *r
	traced.TraceParent = s.tracer.TraceParent(ctx)
	answer, err := s.Server.Send(ctx, order, &traced)
	tracing.End(span, err)
	return answer, err
}

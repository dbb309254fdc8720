package router

import (
	"context"

	"go.opentelemetry.io/otel/attribute"

	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
	"peridotmoor.org/peridotmoor/internal/tracing"
)

// localHandler handles requests for shards that this instance holds.
type localHandler struct {
	shards *shardSet
	tracer *tracing.Tracer
}

// Handle passes the request to its shard, or refuses it with not-holder. The stage of
// that refusal is StageForwardUnsent because the request has not been started here.
func (h *localHandler) Handle(ctx context.Context, r *request.Request) (*request.Response, error) {
	local := h.shards.findByKey(r.Service, r.KeyHash)
	if local == nil {
		return nil, problem.New(problem.KindNotHolder, outcome.StageForwardUnsent,
			"this instance knows no shard of service %q for the key", r.Service)
	}
	if !local.holds() {
		return nil, notHolder(local.id)
	}
	ctx, span := h.tracer.Start(ctx, "holder", r.TraceParent, attribute.String("peridotmoor.shard", local.id.String()))
	response, err := local.handle(ctx, r)
	tracing.End(span, err)
	return response, err
}

func notHolder(shard key.ShardID) *problem.Problem {
	return problem.New(problem.KindNotHolder, outcome.StageForwardUnsent, "this instance does not hold shard %s", shard)
}

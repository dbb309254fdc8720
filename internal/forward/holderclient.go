package forward

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/request"
)

// HolderClient sends a request to a holder, which may be this instance. A returned
// error wraps a *problem.Problem, whose stage is StageForwardUnsent only if the
// holder cannot have received the request.
type HolderClient interface {
	Forward(ctx context.Context, holder *Holder, r *request.Request) (*request.Response, error)
}

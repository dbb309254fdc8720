package forward

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/request"
)

// HolderClient sends a request to a holder, which may be this instance. A returned
// error has a *problem.Problem in its chain; its stage is StageForwardUnsent
// only when the holder cannot have received the request.
type HolderClient interface {
	Forward(ctx context.Context, holder *Holder, r *request.Request) (*request.Response, error)
}

package peer

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// WitnessHandler handles promise requests.
type WitnessHandler interface {
	HandlePromise(ctx context.Context, r authority.PromiseRequest) (authority.PromiseReply, error)
}

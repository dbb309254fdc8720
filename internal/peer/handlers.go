package peer

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Handlers serve the calls of other instances. All fields are required.
type Handlers struct {
	Requests request.Handler
	Witness  WitnessHandler
}

// WitnessHandler serves promise requests.
type WitnessHandler interface {
	HandlePromise(ctx context.Context, r authority.PromiseRequest) (authority.PromiseReply, error)
}

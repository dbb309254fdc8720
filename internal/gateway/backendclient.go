package gateway

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// BackendClient sends calls to backend servers.
type BackendClient interface {
	// Send sends the call to the server and waits for its whole answer until
	// deadline or the end of ctx, which cancel the server's work.
	Send(ctx context.Context, server *fleet.Server, call *Call, deadline time.Time) AttemptResult
}

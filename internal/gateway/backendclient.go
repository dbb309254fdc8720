package gateway

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// BackendClient sends calls to backend servers.
type BackendClient interface {
	// Send sends the call to the server and waits for its complete response, or for the
	// start of a long one. The deadline and the end of ctx cancel the work of the server
	// and end the remainder of a long response. mayWrite is asked right before the first byte
	// is written. If it returns false, nothing is written and the outcome is placing.Unused.
	Send(ctx context.Context, server *fleet.Server, call *Call, deadline time.Time, mayWrite func() bool) AttemptResult
}

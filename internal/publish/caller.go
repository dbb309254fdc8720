package publish

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// Caller carries exchanges to peers.
type Caller interface {
	// Exchange sends the request to the peer endpoint at address. It returns the
	// context's error when the deadline passes first.
	Exchange(ctx context.Context, address string, r exchange.Request) (exchange.Reply, error)
}

package publish

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// PeerClient sends exchange requests to peers.
type PeerClient interface {
	// Exchange sends the request to the peer endpoint at address. It returns the context's
	// error when the deadline passes before the reply.
	Exchange(ctx context.Context, address string, r exchange.Request) (exchange.Reply, error)
}

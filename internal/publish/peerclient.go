package publish

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// PeerClient carries exchanges to peers.
type PeerClient interface {
	// Exchange sends the request to the peer endpoint at address. It returns the
	// context's error when the deadline passes first.
	Exchange(ctx context.Context, address string, r exchange.Request) (exchange.Reply, error)
}

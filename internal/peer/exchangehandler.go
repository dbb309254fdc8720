package peer

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// ExchangeHandler handles exchanges. publish.Publisher implements it.
type ExchangeHandler interface {
	Exchange(ctx context.Context, r exchange.Request) (exchange.Reply, error)
}

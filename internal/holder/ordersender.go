package holder

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// OrderSender sends orders to backend servers.
type OrderSender interface {
	// SendOrder sends one order and returns its result. After it has returned, no part
	// of the order can still arrive at the server.
	SendOrder(ctx context.Context, server fleet.Server, order owners.Order) owners.OrderResult
}

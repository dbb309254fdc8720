package holder

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// OrderSender sends orders to backend servers.
type OrderSender interface {
	// SendOrder sends one order and returns how it ended. Nothing of it can arrive at
	// the server after it has returned.
	SendOrder(ctx context.Context, server fleet.Server, order owners.Order) owners.Reply
}

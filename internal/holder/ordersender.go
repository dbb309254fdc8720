package holder

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// OrderSender sends orders to backend servers.
type OrderSender interface {
	// SendOrder sends one order and returns its result. It writes nothing once order.SendBy
	// has passed. After it has returned, and after the deadline of ctx even if the process
	// is stopped or killed, no part of the order is sent to the server any more. A server
	// that stands still may take later what its kernel has received by then.
	SendOrder(ctx context.Context, server fleet.Server, order owners.Order) owners.OrderResult
}

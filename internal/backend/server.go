// Package backend defines the interface to backend servers: requests and their
// cancellation, grants, draining, health and load.
package backend

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/request"
)

// Server is the client of one backend server.
type Server interface {
	// Send runs a request. The chain of a returned error has a *problem.Problem,
	// whose Stage tells how far the request got. Cancelling ctx cancels
	// the request on the server and closes its connection.
	Send(ctx context.Context, order Order, r *request.Request) (*request.Response, error)
	// Grant replaces the complete list of the ranges of one shard that the server
	// owns. It returns ErrHigherToken if the server has accepted a higher token.
	Grant(ctx context.Context, grant Grant) (GrantResponse, error)
	// Health requests whether the server accepts work. The response may be outdated or wrong.
	Health(ctx context.Context) (Health, error)
	// Load returns the load that the server reports, which may be outdated.
	Load(ctx context.Context) (Load, error)
	// Drain announces to the server that it gets no new requests after this call.
	Drain(ctx context.Context, order Order) error
	// Close closes all idle connections.
	Close()
}

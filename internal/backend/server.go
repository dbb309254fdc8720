// Package backend is the neighbour package for backend servers: how they take
// requests, grants, drains and cancellations, and report health and load.
package backend

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/request"
)

// Server is the connection to one backend server.
type Server interface {
	// Send runs a request. A returned error has a *problem.Problem in its chain whose
	// Stage says how far the request came. Cancelling ctx cancels the request on
	// the server and closes its connection.
	Send(ctx context.Context, order Order, r *request.Request) (*request.Answer, error)
	// Grant replaces the whole list of ranges granted to the server by one shard.
	// It returns ErrStale when the server has accepted a higher token.
	Grant(ctx context.Context, grant Grant) (GrantResponse, error)
	// Health asks whether the server accepts work. The answer may lag or mislead.
	Health(ctx context.Context) (Health, error)
	// Load returns the server's own load report, which lags.
	Load(ctx context.Context) (Load, error)
	// Drain tells the server that it gets no new work after this call.
	Drain(ctx context.Context, order Order) error
	// Close closes all idle connections.
	Close()
}

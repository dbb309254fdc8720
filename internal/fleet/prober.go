package fleet

import "context"

// Prober checks the health of backend servers.
type Prober interface {
	// Health sends a health check to the server at the health path of its service. The
	// response may name another server, to which the address has been reassigned.
	Health(ctx context.Context, server Server, path string) (Health, error)
}

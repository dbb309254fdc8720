package fleet

import "context"

// Prober asks backend servers how they are.
type Prober interface {
	// Health asks one server at the health path of its service. The answer may name
	// another server that has got its address.
	Health(ctx context.Context, server Server, path string) (Health, error)
}

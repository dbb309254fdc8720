package holder

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Prober asks backend servers how they are.
type Prober interface {
	// Health asks one server at the health path of its service. The answer may name
	// another server that has got its address.
	Health(ctx context.Context, server fleet.Server, path string) (fleet.Health, error)
}

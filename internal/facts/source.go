package facts

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Source reads the facts from the platform's store. Its errors are those of package store.
type Source interface {
	// OperatorSettings returns what the operators have written.
	OperatorSettings(ctx context.Context) (fleet.OperatorSettings, error)
	// DomainsOut returns only the failure domains that the operators have taken out: a short
	// response, however long the configuration is.
	DomainsOut(ctx context.Context) (fleet.DomainsOut, error)
	// Listing returns the listed backend servers.
	Listing(ctx context.Context) (fleet.Listing, error)
}

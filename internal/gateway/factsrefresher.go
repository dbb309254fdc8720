package gateway

import "context"

// FactsRefresher reads the store for a request that finds the facts too old.
type FactsRefresher interface {
	// Refresh reads the store and returns whether the facts are new. It takes a fraction of
	// the time that a caller waits.
	Refresh(ctx context.Context) bool
}

// Package instances is the interface to the platform's lagging list of instances.
package instances

import "context"

// Lister reads the platform's list of live and leaving instances. The list
// lags: an instance in it may be gone, and a live one may be missing.
type Lister interface {
	// List returns the instances the platform knows, ordered by name.
	List(ctx context.Context) ([]Instance, error)
}

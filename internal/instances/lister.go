// Package instances defines the interface to the platform's list of instances, which may
// be out of date.
package instances

import "context"

// Lister reads the platform's list of live and leaving instances. The list may be out of
// date: a listed instance may have terminated, and a live one may be missing.
type Lister interface {
	// List returns the listed instances, in order of name.
	List(ctx context.Context) ([]Instance, error)
}

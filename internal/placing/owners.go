package placing

import "time"

// Owners looks up which server owns a key.
type Owners interface {
	// Owner returns the server that owns a key of a service. It returns false while
	// the key has no owner or is moving to another one.
	Owner(service string, key int) (string, bool)
	// ServedAgainBy returns the latest time at which a key without an owner is served
	// again, or the zero time when that may happen at any moment.
	ServedAgainBy(service string, key int) time.Time
}

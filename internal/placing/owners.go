package placing

import "time"

// Owners tells which server holds a key.
type Owners interface {
	// Owner returns the server that holds key of service, and false while the key
	// has no owner or is about to change it.
	Owner(service string, key int) (string, bool)
	// ServedAgainBy returns when a key without an owner is served again at the latest, or
	// the zero time when it may be at any moment.
	ServedAgainBy(service string, key int) time.Time
}

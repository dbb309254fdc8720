package placing

// Owners tells which server holds a key.
type Owners interface {
	// Owner returns the server that holds key of service, and false while the key
	// has no owner or is about to change it.
	Owner(service string, key int) (string, bool)
}

package nodeconfig

// Peers holds the peer endpoints that a starting instance asks first, as
// host:port. It may be empty; then only the platform's list is used.
type Peers struct {
	Addresses []string
}

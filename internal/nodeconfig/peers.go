package nodeconfig

// Peers has the peer endpoints, as host:port, to which a starting instance connects
// first. If it is empty, only the platform's list is used.
type Peers struct {
	Addresses []string
}

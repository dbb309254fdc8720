package tcpproxy

import "net"

// Sources tells where the connections to a proxy come from.
type Sources interface {
	// Source returns the name of the origin of a connection from client to the proxy at
	// address, or "" if it is not known.
	Source(client, address net.Addr) string
}

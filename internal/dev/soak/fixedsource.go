package soak

import "net"

// fixedSource is the failure domain of all connections to a proxy.
type fixedSource string

// Source implements tcpproxy.Sources.
func (s fixedSource) Source(_, _ net.Addr) string { return string(s) }

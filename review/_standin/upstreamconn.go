package main

import "net"

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	net.Conn
	life int
	// lastGrantAnswer is the answer to the last grant on the connection, or nil.
	lastGrantAnswer []byte
}

func (c *upstreamConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

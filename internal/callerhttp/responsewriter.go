package callerhttp

import (
	"net"
	"time"
)

// responseWriter writes a response to a caller's connection. The time limit applies to
// each write, so that a long response may take as long as the caller reads it.
type responseWriter struct {
	net net.Conn
}

func (w responseWriter) Write(p []byte) (int, error) {
	_ = w.net.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, on which the write fails too
	return w.net.Write(p)
}

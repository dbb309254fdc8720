package caller

import (
	"net"
	"time"
)

const (
	// slowReadBytes and slowReadPause are the pace of a slow caller: 40 KB/s, at which it reads
	// the responses of a pipeline within the grace period.
	slowReadBytes = 4 << 10
	slowReadPause = 100 * time.Millisecond
	// slowBufferBytes is the receive buffer of a slow caller, of which the kernel makes double.
	slowBufferBytes = 16 << 10
)

// slowReader reads from a connection at the pace of a slow caller.
type slowReader struct {
	net net.Conn
}

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowReadPause)
	return r.net.Read(p[:min(len(p), slowReadBytes)])
}

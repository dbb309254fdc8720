package callerhttp

import "time"

const (
	// pipelineDepth bounds the requests of one connection that run side by side,
	// so that one caller cannot take all memory.
	pipelineDepth = 32
	// writeTimeout ends a connection whose caller reads nothing.
	writeTimeout = 10 * time.Second
	// bodyDrainBytes and drainTimeout bound what is read of a body that nobody wants,
	// so that the caller sees the answer instead of a reset.
	bodyDrainBytes   = 1 << 20
	bodyDrainTimeout = time.Second
	// lingerTimeout is how long the server waits for the caller's close after its
	// last answer, for the same reason.
	lingerTimeout = 500 * time.Millisecond
	// readBufferBytes is the buffer of one connection in bytes; typical requests fit.
	readBufferBytes = 2048
	// defaultHeaderBytes bounds a request's headers until limits are known, as net/http does.
	defaultHeaderBytes = 1 << 20
	// defaultTimeout bounds headers and idle time until limits are known.
	defaultTimeout = 15 * time.Second
	// acceptBackoff is the wait after a failed accept, when descriptors have run out.
	acceptBackoff = 10 * time.Millisecond
)

package callerhttp

import "sync/atomic"

// chunk is a part of what has been read ahead of a response. Its producer fills it while its
// consumer reads it.
type chunk struct {
	data []byte
	// filled is how many bytes of data are valid.
	filled atomic.Int32
	next   atomic.Pointer[chunk]
	pool   *chunkPool
}

// free gives up the buffer and returns its size.
func (c *chunk) free() int64 {
	n := len(c.data)
	c.pool.put(c.data)
	c.data = nil
	return int64(n)
}

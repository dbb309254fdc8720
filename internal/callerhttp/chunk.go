package callerhttp

import (
	"sync"
	"sync/atomic"
)

// chunk is a part of what has been read ahead of a response. Its producer fills it while its
// consumer reads it.
type chunk struct {
	data *[chunkBytes]byte
	// filled is how many bytes of data are valid.
	filled atomic.Int32
	next   atomic.Pointer[chunk]
}

// chunkData are the buffers of chunks that are not in use. The garbage collector frees them.
var chunkData = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

func newChunk() *chunk {
	return &chunk{data: chunkData.Get().(*[chunkBytes]byte)}
}

// free gives up the buffer.
func (c *chunk) free() {
	chunkData.Put(c.data)
	c.data = nil
}

package callerhttp

import "sync"

// chunkPool has the buffers of chunks of one size that are not in use. The garbage collector
// frees them.
type chunkPool struct {
	size    int
	buffers sync.Pool
}

var (
	smallChunks = &chunkPool{size: chunkBytes}
	largeChunks = &chunkPool{size: largeChunkBytes}
)

func (p *chunkPool) newChunk() *chunk {
	if buffer, ok := p.buffers.Get().(*[]byte); ok {
		return &chunk{data: *buffer, pool: p}
	}
	return &chunk{data: make([]byte, p.size), pool: p}
}

func (p *chunkPool) put(buffer []byte) {
	p.buffers.Put(&buffer)
}

package system

import (
	"io"
	"time"
)

const (
	// slowChunkBytes makes 40 chunks larger than the part of a body that an entry instance buffers.
	slowChunkBytes = 4 << 10
	slowChunkPause = 50 * time.Millisecond
)

// slowBody is a request body that takes chunks x 50 ms to read.
type slowBody struct {
	chunks  int
	started chan struct{}
}

func newSlowBody(chunks int) *slowBody {
	return &slowBody{chunks: chunks, started: make(chan struct{})}
}

// Read returns one chunk after a pause. It closes started when 20 chunks remain.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.chunks == 0 {
		return 0, io.EOF
	}
	time.Sleep(slowChunkPause)
	b.chunks--
	if b.chunks == 20 {
		close(b.started)
	}
	return min(len(p), slowChunkBytes), nil
}

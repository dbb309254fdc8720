package system

import (
	"io"
	"time"
)

const (
	// slowChunkBytes makes 40 chunks larger than what an entry holds in memory.
	slowChunkBytes = 4 << 10
	slowChunkPause = 50 * time.Millisecond
)

// slowBody is an upload that takes chunks x 50 ms.
type slowBody struct {
	chunks  int
	started chan struct{}
}

func newSlowBody(chunks int) *slowBody {
	return &slowBody{chunks: chunks, started: make(chan struct{})}
}

// Read returns one chunk after a pause. started is closed at half of the body.
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

package callerhttp

import (
	"io"
	"sync/atomic"
)

// callerWriter counts the writes in progress, which wait for the caller.
type callerWriter struct {
	io.Writer
	waits *atomic.Int32
}

func (w callerWriter) Write(p []byte) (int, error) {
	w.waits.Add(1)
	defer w.waits.Add(-1)
	return w.Writer.Write(p)
}

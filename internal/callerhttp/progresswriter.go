package callerhttp

import (
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// errCallerStalled says that the caller has taken nothing of a response for stallTimeout.
var errCallerStalled = errors.New("the caller takes nothing of the response; it must read it or close the connection")

// progressWriter writes a response to its caller. However long that takes, it goes on
// while the caller takes some of it, and fails after stallTimeout without progress.
type progressWriter struct {
	net net.Conn
	// queued returns the bytes that the caller has not acknowledged yet.
	queued func() int
	// onProgress is called whenever the caller has taken some of the response.
	onProgress func()
}

func newProgressWriter(c net.Conn, onProgress func()) progressWriter {
	return progressWriter{net: c, onProgress: onProgress, queued: func() int { return sockopt.Unacknowledged(c) }}
}

func (w progressWriter) Write(p []byte) (int, error) {
	written, stalls, queuedBefore := 0, 0, 0
	for {
		_ = w.net.SetWriteDeadline(time.Now().Add(stallTimeout / stallChecks)) // fails only on a closed connection, on which the write fails too
		n, err := w.net.Write(p[written:])
		written += n
		if n > 0 {
			w.onProgress()
		}
		if err == nil || !isTimeout(err) {
			return written, err
		}
		// The socket accepts more only when a good part of its buffer is free, which takes
		// a slow caller longer than the timeout. Its acknowledgements show progress before.
		queued := w.queued()
		if stalls++; n > 0 || queued < queuedBefore {
			stalls = 0
			w.onProgress()
		}
		if stalls == stallChecks {
			return written, fmt.Errorf("%w: %w", errCallerStalled, err)
		}
		queuedBefore = queued
	}
}

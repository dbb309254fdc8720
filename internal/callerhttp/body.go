package callerhttp

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// body is the body of a request. It tells the connection when nobody reads it
// any more, since the next request follows it.
type body struct {
	io.Reader
	net  net.Conn
	once sync.Once
	done chan struct{}
	// complete is set when the body was read to its end.
	complete bool
	// sendContinue, when set, asks the caller for the body before the first read.
	sendContinue func()
}

func newBody(r io.Reader, conn net.Conn, sendContinue func()) *body {
	return &body{Reader: r, net: conn, done: make(chan struct{}), sendContinue: sendContinue}
}

func (b *body) Read(p []byte) (int, error) {
	if b.sendContinue != nil {
		b.sendContinue()
		b.sendContinue = nil
	}
	n, err := b.Reader.Read(p)
	if err != nil {
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close tells that the rest of the body is not wanted.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(complete bool) {
	b.once.Do(func() {
		b.complete = complete
		close(b.done)
	})
}

// SetReadDeadline bounds the reads of the body. It has no effect once the body
// has ended, as the connection then waits for its next request.
func (b *body) SetReadDeadline(t time.Time) error {
	select {
	case <-b.done:
		return nil
	default:
		return b.net.SetReadDeadline(t)
	}
}

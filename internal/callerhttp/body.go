package callerhttp

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// body is the body of a request. It signals the connection when the handler no longer
// reads it, since the next request follows it on the connection.
type body struct {
	io.Reader
	net  net.Conn
	once sync.Once
	done chan struct{}
	// complete is set when the body has been read to its end.
	complete bool
	// sendContinue, when set, is called before the first read. It asks a caller that sent
	// "Expect: 100-continue" for the body.
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

// Close signals that the rest of the body will not be read.
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

// SetReadDeadline sets the deadline for reads of the body. It has no effect after the
// end of the body, because the connection then waits for its next request.
func (b *body) SetReadDeadline(t time.Time) error {
	select {
	case <-b.done:
		return nil
	default:
		return b.net.SetReadDeadline(t)
	}
}

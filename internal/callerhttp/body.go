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
	// whole is set when the body was read to its end.
	whole bool
	// expect, when set, asks the caller for the body before the first read.
	expect func()
}

func newBody(r io.Reader, conn net.Conn, expect func()) *body {
	return &body{Reader: r, net: conn, done: make(chan struct{}), expect: expect}
}

func (b *body) Read(p []byte) (int, error) {
	if b.expect != nil {
		b.expect()
		b.expect = nil
	}
	n, err := b.Reader.Read(p)
	if err != nil {
		b.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close tells that the rest of the body is not wanted.
func (b *body) Close() error {
	b.end(false)
	return nil
}

func (b *body) end(whole bool) {
	b.once.Do(func() {
		b.whole = whole
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

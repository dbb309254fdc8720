package backhttp

import (
	"io"
	"sync"
)

// remainder streams the rest of a long response body and tells the reader goroutine
// when the receiver has closed it.
type remainder struct {
	io.Reader
	closed chan struct{}
	once   sync.Once
}

func newRemainder(r io.Reader) *remainder {
	return &remainder{Reader: r, closed: make(chan struct{})}
}

// Close lets the reader goroutine close the connection.
func (r *remainder) Close() error {
	r.once.Do(func() { close(r.closed) })
	return nil
}
